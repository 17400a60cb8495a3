package dissemination

import (
	"time"

	"mangoshed.example/mangoshed/core/model"
)

// contactInterval is the period in which a relay asks a daemon of its region that never
// announced itself to it.
const contactInterval = 10 * time.Second

// contact is the search for daemons that hold another view.
type contact struct {
	at   time.Time
	peer model.InstanceID
}

// advanceContact asks a listed daemon whose announcement never arrived. After a mass
// restart, daemons that still count the restarted ones as leaving and daemons that know
// of no announcement can form two trees without a link between them.
func (c *Core) advanceContact() {
	if c.plan.Level != 0 || c.plan.Self.ID == "" || c.boot.active {
		return
	}
	if !c.contact.at.IsZero() && !c.due(c.contact.at) {
		return
	}
	first := c.contact.at.IsZero()
	c.contact.at = c.now.Add(contactInterval/2 + c.jitter(contactInterval))
	c.due(c.contact.at)
	if first {
		return
	}
	var unheard []model.Instance
	for _, i := range c.members.table.View().Instances {
		if i.Incarnation == 0 && i.ID != c.self.ID && i.Place.Region == c.self.Place.Region && c.link(i.ID) == nil {
			unheard = append(unheard, i)
		}
	}
	if len(unheard) > 0 {
		chosen := unheard[c.rng.IntN(len(unheard))]
		c.contact.peer = chosen.ID
		c.dial(chosen, 0)
	}
}
