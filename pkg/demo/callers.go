package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mangoshed.example/mangoshed/core/refusal"
)

const (
	// callInterval is the pause of one caller between two calls.
	callInterval = 5 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 5 * time.Second
	// uploadBytes is the size of an uploaded document.
	uploadBytes = 64 << 10
	// resendShare is the share of claims that a caller sends twice with the same key.
	resendShare = 0.2
	// maxLatencyMicros is the highest latency that the histogram resolves.
	maxLatencyMicros = 60_000_000
)

// target is a daemon as callers see it.
type target struct {
	service string
	address string
}

// callTotals are the counts of all callers.
type callTotals struct {
	Calls      int
	Failed     int
	Refused    int
	Cut        int
	Refusals   map[string]int
	LatencyP50 time.Duration
	LatencyP99 time.Duration
}

// callers sends reads, claims and uploads to a deployment's daemons.
type callers struct {
	services []string
	client   *http.Client
	ledger   *ledger

	mu        sync.Mutex // guards the fields below
	targets   []target
	totals    callTotals
	latencies *hdrhistogram.Histogram
	// notRun holds the keys whose every attempt was refused as not run.
	notRun map[string]bool
}

func newCallers(services []string, targets []target, l *ledger) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	return &callers{
		services:  services,
		targets:   targets,
		client:    &http.Client{Transport: transport, Timeout: callTimeout},
		ledger:    l,
		totals:    callTotals{Refusals: make(map[string]int)},
		latencies: hdrhistogram.New(1, maxLatencyMicros, 3),
		notRun:    make(map[string]bool),
	}
}

// run starts n callers and returns when ctx ends and all of them have finished their
// last call.
func (c *callers) run(ctx context.Context, n int, seed uint64) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { c.loop(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	group.Wait()
	c.client.CloseIdleConnections()
}

func (c *callers) loop(ctx context.Context, caller int, random *rand.Rand) {
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.callOnce(fmt.Sprintf("%d-%d", caller, n), random)
	}
}

// callOnce sends one read, claim or upload.
func (c *callers) callOnce(key string, random *rand.Rand) {
	service := c.services[random.IntN(len(c.services))]
	switch random.IntN(10) {
	case 0:
		c.upload(service, random)
	case 1, 2, 3:
		c.claim(service, key, random)
	default:
		c.do(c.request(http.MethodGet, service, pathListing, nil, random))
	}
}

// claim sends a claim and, for a share of them, the same claim again through another
// daemon.
func (c *callers) claim(service, key string, random *rand.Rand) {
	created := strconv.FormatInt(time.Now().UnixMilli(), 10)
	attempts := 1
	if random.Float64() < resendShare {
		attempts = 2
	}
	allNotRun := true
	for range attempts {
		req := c.request(http.MethodPost, service, pathClaim, nil, random)
		req.Header.Set(refusal.HeaderKey, key)
		req.Header.Set(refusal.HeaderCreated, created)
		allNotRun = c.do(req) && allNotRun
	}
	if allNotRun {
		c.mu.Lock()
		c.notRun[key] = true
		c.mu.Unlock()
	}
}

func (c *callers) upload(service string, random *rand.Rand) {
	document := make([]byte, uploadBytes)
	for i := range document {
		document[i] = byte(random.Uint32())
	}
	sum := sha256.Sum256(document)
	req := c.request(http.MethodPost, service, pathUpload, document, random)
	answer, notRun := c.exchange(req)
	if notRun || answer == nil || string(answer) == hex.EncodeToString(sum[:]) {
		return
	}
	c.mu.Lock()
	c.totals.Cut++
	c.mu.Unlock()
}

// request builds a request to a random daemon.
func (c *callers) request(method, service, path string, body []byte, random *rand.Rand) *http.Request {
	c.mu.Lock()
	address := c.targets[random.IntN(len(c.targets))].address
	c.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the method and the address are the demo's own
	}
	req.Host = service
	return req
}

// do sends a request and reports whether it was refused as not run.
func (c *callers) do(req *http.Request) bool {
	_, notRun := c.exchange(req)
	return notRun
}

// exchange sends a request, counts its outcome and returns the complete answer, or nil
// when there is none.
func (c *callers) exchange(req *http.Request) (answer []byte, notRun bool) {
	start := time.Now()
	resp, err := c.send(req)
	if err != nil {
		c.count(func(t *callTotals) { t.Failed++ })
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	c.observe(time.Since(start))
	if r, ok := refusal.FromResponse(resp); ok {
		c.count(func(t *callTotals) { countRefusal(t, r) })
		return nil, r.Run == refusal.NotRun
	}
	switch {
	case err != nil || !complete(resp, body):
		c.count(func(t *callTotals) { t.Cut++ })
		return nil, false
	case resp.StatusCode != http.StatusOK:
		c.count(func(t *callTotals) { t.Failed++ })
		return nil, false
	}
	c.count(func(*callTotals) {})
	return body, false
}

// countRefusal counts a refusal; one that may have run is a failed call, except the
// answer to a repeated key, which the caller asked for.
func countRefusal(t *callTotals, r *refusal.Refusal) {
	t.Refusals[string(r.Kind)]++
	if r.Run == refusal.NotRun || r.Kind == refusal.Duplicate {
		t.Refused++
		return
	}
	t.Failed++
}

// complete checks a successful answer against the checksum that the application sent.
func complete(resp *http.Response, body []byte) bool {
	if resp.StatusCode != http.StatusOK {
		return true
	}
	sum := sha256.Sum256(body)
	return resp.Header.Get(headerChecksum) == hex.EncodeToString(sum[:])
}

func (c *callers) count(update func(*callTotals)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.Calls++
	update(&c.totals)
}

func (c *callers) observe(latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.latencies.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
}

// result returns the totals; it is called after run.
func (c *callers) result() callTotals {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := c.totals
	totals.LatencyP50 = time.Duration(c.latencies.ValueAtQuantile(50)) * time.Microsecond
	totals.LatencyP99 = time.Duration(c.latencies.ValueAtQuantile(99)) * time.Microsecond
	return totals
}

// falseNotRun returns the number of claims that ran although every attempt was refused
// as not run.
func (c *callers) falseNotRun() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for key := range c.notRun {
		if c.ledger.count(key) > 0 {
			n++
		}
	}
	return n
}
