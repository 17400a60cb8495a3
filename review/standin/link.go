package main

import (
	"net"
	"sync"
	"time"
)

// link carries the connections between the machines of two regions, at a limited rate. Open ones can
// go silent for good: nothing arrives on them any more, neither bytes nor their end. New ones work.
type link struct {
	bytesPerSecond float64
	delay          time.Duration

	mu         sync.Mutex
	generation int
	// free is the time at which each direction has sent what it was given.
	free [2]time.Time
}

// silence makes all open connections silent.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation++
}

// open returns the generation to which a new connection belongs.
func (l *link) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation
}

// carries reports whether the link still carries a connection of a generation.
func (l *link) carries(generation int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation == generation
}

// send waits until the link has carried n bytes in a direction.
func (l *link) send(direction, n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free[direction].Before(now) {
		l.free[direction] = now
	}
	l.free[direction] = l.free[direction].Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	until := l.free[direction].Add(l.delay)
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// carry accepts connections at one address and passes them to another one over the link. direction is
// that of the bytes that the dialling side sends.
func (l *link) carry(from, to string, direction int) error {
	listener, err := net.Listen("tcp4", from)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.join(c, to, direction)
		}
	}()
	return nil
}

func (l *link) join(near net.Conn, to string, direction int) {
	generation := l.open()
	far, err := net.Dial("tcp4", to)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	go l.copy(far, near, direction, generation)
	l.copy(near, far, 1-direction, generation)
}

// copy passes bytes and the end of the stream from one connection to the other.
func (l *link) copy(to, from net.Conn, direction, generation int) {
	buffer := make([]byte, 8<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.send(direction, n)
		}
		if !l.carries(generation) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
