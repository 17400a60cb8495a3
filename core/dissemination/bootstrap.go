package dissemination

import (
	"time"

	"mangoshed.example/mangoshed/core/model"
)

const (
	// bootWait bounds the time that a new daemon with a version waits for answers.
	bootWait = 2 * time.Second
	// stageWait is the time that each group of neighbours has to answer.
	stageWait = 500 * time.Millisecond
	// askedPerStage is the number of neighbours asked in each group.
	askedPerStage = 2
	// askInterval is the period of further questions while neighbours have no answer.
	askInterval = time.Second
	// pauseGap is the time between two events from which a daemon counts as paused; it
	// ticks every 400 ms.
	pauseGap = time.Second
	// recheckWait bounds the time for which a daemon that was paused refuses work when
	// nobody answers.
	recheckWait = 5 * time.Second
)

// Stages of the bootstrap, from near to far.
const (
	stageNew = iota - 1
	stageNear
	stageRegion
	stageFar
	stageStore
)

// bootstrap is the state of a new daemon that asks its neighbours.
type bootstrap struct {
	active    bool
	stage     int
	startedAt time.Time
	stageAt   time.Time
	askAt     time.Time
	asked     map[model.InstanceID]bool // true once answered
}

// recheck is the state of a daemon that was paused: it checks version and membership
// before it takes new work.
type recheck struct {
	active           bool
	since, askAt     time.Time
	version, members bool // confirmed
}

// advanceTime moves the clock and detects pauses by the monotonic and the wall clock;
// the monotonic one stands still while a machine is suspended.
func (c *Core) advanceTime(now time.Time) {
	if c.now.IsZero() {
		c.now = now
		c.startBootstrap()
		return
	}
	gap := max(now.Sub(c.now), now.Round(0).Sub(c.now.Round(0)))
	if now.After(c.now) {
		c.now = now
	}
	if gap > pauseGap {
		c.wake()
	}
}

// wake starts the recheck after a pause. Silence during the pause says nothing about
// the parents.
func (c *Core) wake() {
	if !c.recheck.active {
		c.emit(Stale{On: true})
	}
	c.recheck = recheck{active: true, since: c.now}
	for _, l := range c.links {
		l.heardAt, l.heartbeatAt, l.probeAt = c.now, c.now, time.Time{}
	}
	if c.watching {
		c.emit(ReadManifest{})
		c.emit(ReadList{})
	}
}

// advanceRecheck asks all parents until version and membership are confirmed.
func (c *Core) advanceRecheck() {
	r := &c.recheck
	if !r.active {
		return
	}
	if r.version && r.members || c.due(r.since.Add(recheckWait)) {
		r.active = false
		c.emit(Stale{On: false})
		return
	}
	if r.askAt.IsZero() || c.due(r.askAt) {
		r.askAt = c.now.Add(stageWait)
		c.due(r.askAt)
		for _, l := range c.links {
			if l.want != modeOff {
				c.send(l, query{})
			}
		}
	}
}

// startBootstrap delays the first questions by the jitter of a mass reconnect.
func (c *Core) startBootstrap() {
	window := min(time.Duration(c.fleetSize())*time.Millisecond, maxDialJitter)
	c.boot = bootstrap{active: true, startedAt: c.now.Add(c.jitter(window)), asked: map[model.InstanceID]bool{}, stage: stageNew}
	c.members.table.Announce(c.ownAnnouncement().membership(), c.now)
}

// enterStage asks neighbours at the stage's distance; a stage without any is skipped. A
// daemon that has an answer of its region, or waits for one under way, does not cross the
// paid link: the return of half of a fleet would otherwise load it with handshakes.
func (c *Core) enterStage(stage int) {
	local := c.has() || c.answerUnderWay()
	for ; stage < stageStore && (stage < stageFar || !local); stage++ {
		if c.askStage(stage) {
			break
		}
	}
	if stage >= stageFar && local {
		stage = stageRegion
	}
	c.boot.stage, c.boot.stageAt = stage, c.now
}

// answerUnderWay reports whether a neighbour of the region is linked and has not answered
// yet, or something is being pulled, within the bounded wait.
func (c *Core) answerUnderWay() bool {
	if !c.now.Before(c.boot.startedAt.Add(bootWait)) {
		return false
	}
	for _, seed := range c.cfg.Seeds {
		answered, asked := c.boot.asked[seed.ID]
		if asked && !answered && seed.Place.Region == c.self.Place.Region && c.link(seed.ID) != nil {
			return true
		}
	}
	return c.informed()
}

// askStage picks neighbours at random and reports whether there are any.
func (c *Core) askStage(stage int) bool {
	distance := []model.Distance{model.SameDataCentre, model.SameRegion, model.CrossRegion}[stage]
	var candidates []model.Instance
	for _, seed := range c.cfg.Seeds {
		if _, asked := c.boot.asked[seed.ID]; !asked && seed.ID != c.self.ID && c.distanceTo(seed.Place) == distance {
			candidates = append(candidates, seed)
		}
	}
	c.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, candidate := range candidates[:min(len(candidates), askedPerStage)] {
		c.boot.asked[candidate.ID] = false
	}
	return len(candidates) > 0
}

// advanceBootstrap dials the neighbours, widens the circle and ends the bootstrap.
func (c *Core) advanceBootstrap() {
	if !c.boot.active {
		return
	}
	if c.boot.stage == stageNew {
		if !c.due(c.boot.startedAt) {
			return
		}
		c.enterStage(stageNear)
	}
	for _, seed := range c.cfg.Seeds {
		if answered, asked := c.boot.asked[seed.ID]; asked && !answered {
			c.dial(seed, 0)
		}
	}
	if c.bootComplete() {
		c.boot.active = false
		return
	}
	if c.boot.stage < stageStore && (c.allAnswered() && !c.informed() || c.due(c.boot.stageAt.Add(stageWait))) {
		c.enterStage(c.boot.stage + 1)
	}
	c.askAgain()
}

// bootComplete reports whether the daemon has the highest version among the answers, or
// has waited long enough with what it has.
func (c *Core) bootComplete() bool {
	if !c.has() {
		return false
	}
	return c.allAnswered() && !c.informed() || c.due(c.boot.startedAt.Add(bootWait))
}

func (c *Core) has() bool { return c.history.held() != nil && c.members.table.Revision() > 0 }

// informed reports whether a peer has something that is still to be pulled.
func (c *Core) informed() bool {
	for _, l := range c.links {
		if !l.advertAt.IsZero() || !l.pulledAt.IsZero() || !l.repairAsked.IsZero() && c.members.table.Revision() == 0 {
			return true
		}
	}
	return false
}

func (c *Core) allAnswered() bool {
	for _, answered := range c.boot.asked {
		if !answered {
			return false
		}
	}
	return true
}

// askNeighbour asks a new link to a neighbour or to a daemon with another view.
func (c *Core) askNeighbour(l *link) {
	if _, asked := c.boot.asked[l.peer]; asked && c.boot.active || l.peer == c.contact.peer {
		c.send(l, query{})
	}
}

// askAgain repeats the questions to neighbours that had nothing.
func (c *Core) askAgain() {
	if !c.boot.askAt.IsZero() && !c.due(c.boot.askAt) {
		return
	}
	first := c.boot.askAt.IsZero()
	c.boot.askAt = c.now.Add(askInterval)
	c.due(c.boot.askAt)
	if first {
		return
	}
	for _, l := range c.links {
		if _, asked := c.boot.asked[l.peer]; asked {
			c.send(l, query{})
		}
	}
}

// answerFrom takes a beacon as the answer of a neighbour or a parent.
func (c *Core) answerFrom(l *link, b beacon) {
	if _, asked := c.boot.asked[l.peer]; asked {
		c.boot.asked[l.peer] = true
	}
	if l.want == modeOff {
		return
	}
	if b.Held.Version <= c.heldMark().Version {
		c.recheck.version = true
	}
	if b.Revision <= c.members.table.Revision() {
		c.recheck.members = true
	}
}
