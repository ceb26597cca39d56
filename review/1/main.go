// Command 1 evacuates a zone and takes hosts away while the two balancers that read the store
// are cut off from it, and then looks which hosts get new flows.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn/review/deployment"
)

const (
	service = "lookup-core"
	vms     = 18 // with a host each
	// leaving is the number of hosts that are taken away.
	leaving = 6
	// work is the longest time of a correction-post of the site.
	work = 120 * time.Millisecond
	// cut is how long the readers are cut off from the store.
	cut = 5 * time.Second
	// drain is drain_timeout_ms and settle is settle_window_ms of the site.
	drain  = 5 * time.Second
	settle = 5 * time.Second
	// serveOn is how much longer than drain the hosts that leave go on serving.
	serveOn = 9 * time.Second
)

func main() { deployment.Main(run) }

func run(trouble bool) (broken []string, err error) {
	var services []string
	for range vms {
		services = append(services, service)
	}
	d, err := deployment.Start(deployment.Options{
		Folder: "review/1", Binary: deployment.Program(), Balancers: 6, Services: services, AgentOf: services,
		ApplyWithin: 5 * time.Second, Work: work,
	}, deployment.Config(1, service))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	time.Sleep(3 * time.Second)
	start := time.Now()
	if trouble {
		for _, i := range d.Readers(2) {
			d.Record.Note("balancer-%d, a reader of the store, is cut off from it for %s", i, cut)
			d.CutFromStore(i, true)
			time.AfterFunc(cut, func() { d.CutFromStore(i, false) })
		}
	}
	deployment.Until(start, 300*time.Millisecond)
	d.Record.Note("zone %s is to be evacuated", d.Zone(2))
	d.Store.Write("op/evacuate/"+d.Zone(2), struct{}{})
	deployment.Until(start, 400*time.Millisecond)
	var gone []*deployment.Host
	for _, h := range d.Hosts() {
		if d.Zone(h.Index) != d.Zone(2) && len(gone) < leaving {
			h.Drain()
			gone = append(gone, h)
		}
	}
	d.Record.Note("%d hosts of other zones are draining", len(gone))
	hostsEnd := drain + serveOn
	callers, err := openFlows(d, start.Add(hostsEnd+time.Second))
	if err != nil {
		return nil, err
	}
	deployment.Until(start, hostsEnd)
	for _, h := range gone {
		h.End()
	}
	callers.all.Wait()
	d.Record.Note("%d requests on open flows were not answered", callers.lost.Load())
	// By this time, all VMs are in touch.
	calm := start.Add(cut + settle + 100*time.Millisecond)
	for _, h := range gone {
		for _, o := range h.Openings() {
			if late := o.At.Sub(h.DrainingAt()); late > drain && o.At.After(calm) {
				broken = append(broken, fmt.Sprintf("DRAIN: %s was opened at %s %s after the store acknowledged that this host is draining",
					o.Flow, h.ID, late.Round(time.Millisecond)))
			}
		}
	}
	return broken, nil
}

// callers open flows.
type callers struct {
	all  sync.WaitGroup
	lost atomic.Int64 // requests on open flows without an answer
}

// openFlows opens flows of one request each until the end.
func openFlows(d *deployment.Deployment, end time.Time) (*callers, error) {
	c, err := d.NewCaller()
	if err != nil {
		return nil, err
	}
	var w callers
	w.all.Go(func() {
		for time.Now().Before(end) {
			w.all.Go(func() { w.request(d, c) })
			time.Sleep(12 * time.Millisecond)
		}
	})
	return &w, nil
}

// request sends a request on a flow of its own.
func (w *callers) request(d *deployment.Deployment, c *deployment.Caller) {
	f, outcome := c.Open(d.ServiceAddress(0))
	if outcome != deployment.Opened {
		return
	}
	if _, ok := f.Request(time.Second); !ok {
		w.lost.Add(1)
	}
	f.Close()
}
