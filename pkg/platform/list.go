package platform

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"mangoshed.example/mangoshed/core/model"
)

// maxPages bounds one list; 64 pages of 1 MB hold several hundred thousand instances.
const maxPages = 64

// listRestarts is how often a list whose pages changed during the transfer is read anew.
const listRestarts = 3

// ListedInstance is the JSON form of an instance.
type ListedInstance struct {
	ID          model.InstanceID `json:"id"`
	Service     string           `json:"service"`
	Region      string           `json:"region"`
	DataCentre  string           `json:"data_centre"`
	ControlAddr string           `json:"control_addr"`
	ForwardAddr string           `json:"forward_addr"`
}

// Listed returns the JSON form of an instance.
func Listed(i model.Instance) ListedInstance {
	return ListedInstance{
		ID: i.ID, Service: i.Service, Region: i.Place.Region, DataCentre: i.Place.DataCentre,
		ControlAddr: i.ControlAddr, ForwardAddr: i.ForwardAddr,
	}
}

// instance returns the model's form of a listed instance.
func (l ListedInstance) instance() model.Instance {
	return model.Instance{
		ID: l.ID, Service: l.Service, Place: model.Place{Region: l.Region, DataCentre: l.DataCentre},
		ControlAddr: l.ControlAddr, ForwardAddr: l.ForwardAddr,
	}
}

// ListPage is one answer to a list call: a page of the complete list, or the changes
// since a base revision.
type ListPage struct {
	Revision uint64 `json:"revision"`
	// Base is the revision that the changes apply to; 0 for a page of the complete list.
	Base      uint64             `json:"base,omitempty"`
	Instances []ListedInstance   `json:"instances"`
	Removed   []model.InstanceID `json:"removed,omitempty"`
	// Next is the token of the next page; empty on the last one.
	Next string `json:"next,omitempty"`
}

// listCache keeps the last list, so that the platform can answer with changes only. At
// 19,000 instances the complete list has about 3 MB, one change about 200 bytes.
type listCache struct {
	mu   sync.Mutex
	last InstanceList
}

func (l *listCache) get() InstanceList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

func (l *listCache) set(list InstanceList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = list
}

// List implements Client. The returned instances are shared with later calls and must
// not be modified.
func (c *HTTP) List(ctx context.Context, after uint64, wait bool) (InstanceList, error) {
	var hold time.Duration
	if wait {
		hold = c.hold
	}
	cached := c.lists.get()
	query := waitQuery(after, hold)
	if cached.Revision != 0 && cached.Revision == after {
		query.Set("changes", "1")
	}
	var err error
	for range listRestarts {
		var list InstanceList
		list, err = c.listOnce(ctx, query, hold, cached)
		if err == nil {
			c.lists.set(list)
			return list, nil
		}
		var failed *Error
		if !errors.As(err, &failed) || failed.Status != http.StatusConflict {
			break
		}
		query, hold = waitQuery(after, 0), 0
	}
	return InstanceList{}, err
}

// listOnce reads all pages of one revision and merges changes into the cached list.
func (c *HTTP) listOnce(ctx context.Context, query url.Values, hold time.Duration, cached InstanceList) (InstanceList, error) {
	var list InstanceList
	for range maxPages {
		a, err := c.call(ctx, "list", InstancesPath, InstancesPath, query, hold)
		if err != nil {
			return InstanceList{}, err
		}
		page, err := decodePage(a)
		if err == nil && page.Base != 0 {
			if query.Get("changes") == "" || page.Base != cached.Revision || page.Next != "" {
				err = fmt.Errorf("changes since revision %d were not requested", page.Base)
			} else {
				return finishList(merge(cached, page))
			}
		}
		if err == nil && list.Revision != 0 && list.Revision != page.Revision {
			err = errors.New("pages of different revisions")
		}
		if err != nil {
			return InstanceList{}, malformedList(err)
		}
		list.Revision = page.Revision
		for _, i := range page.Instances {
			list.Instances = append(list.Instances, i.instance())
		}
		if page.Next == "" {
			return finishList(list)
		}
		query, hold = url.Values{"page": {page.Next}}, 0
	}
	return InstanceList{}, &Error{Kind: TooLarge, Op: "list", Key: InstancesPath, Err: fmt.Errorf("more than %d pages", maxPages)}
}

func malformedList(err error) error {
	return &Error{Kind: Malformed, Op: "list", Key: InstancesPath, Err: err}
}

// decodePage decodes and checks one answer.
func decodePage(a answer) (ListPage, error) {
	var page ListPage
	dec := json.NewDecoder(bytes.NewReader(a.data))
	if err := dec.Decode(&page); err != nil {
		return page, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return page, errors.New("data after the list")
	}
	if page.Revision == 0 || page.Revision != a.revision {
		return page, fmt.Errorf("revision %d differs from the header's %d", page.Revision, a.revision)
	}
	return page, nil
}

// merge applies changes to a list without modifying it.
func merge(base InstanceList, page ListPage) InstanceList {
	replaced := make(map[model.InstanceID]bool, len(page.Instances)+len(page.Removed))
	for _, id := range page.Removed {
		replaced[id] = true
	}
	for _, i := range page.Instances {
		replaced[i.ID] = true
	}
	merged := make([]model.Instance, 0, len(base.Instances)+len(page.Instances))
	for _, i := range base.Instances {
		if !replaced[i.ID] {
			merged = append(merged, i)
		}
	}
	for _, i := range page.Instances {
		merged = append(merged, i.instance())
	}
	return InstanceList{Revision: page.Revision, Instances: merged}
}

// finishList sorts a list and refuses missing and repeated IDs.
func finishList(list InstanceList) (InstanceList, error) {
	slices.SortFunc(list.Instances, func(a, b model.Instance) int { return cmp.Compare(a.ID, b.ID) })
	for n, i := range list.Instances {
		if i.ID == "" || i.Service == "" {
			return InstanceList{}, malformedList(errors.New("an instance without id or service"))
		}
		if n > 0 && list.Instances[n-1].ID == i.ID {
			return InstanceList{}, malformedList(fmt.Errorf("instance %q is listed twice", i.ID))
		}
	}
	return list, nil
}
