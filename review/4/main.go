// Command 4 evacuates a zone and adds hosts while the two balancers that read the store are
// cut off from it, and later restarts the balancers in turn, as planned, under callers that
// keep their flows open.
package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/currantturn/currantturn/review/deployment"
)

const (
	service = "lookup-core"
	vms     = 9 // with a host each from the start
	// added is the number of hosts that are added.
	added = 6
	// cut is how long the readers are cut off from the store.
	cut = 5 * time.Second
	// settle is settle_window_ms of the site.
	settle = 5 * time.Second
	// flows is the number of flows that callers open after all VMs are in touch.
	flows = 150
)

func main() { deployment.Main(run) }

func run(trouble bool) (broken []string, err error) {
	var services, agentOf []string
	for j := range vms + added {
		agentOf = append(agentOf, service)
		services = append(services, "")
		if j < vms {
			services[j] = service
		}
	}
	d, err := deployment.Start(deployment.Options{
		Folder: "review/4", Binary: deployment.Program(), Balancers: 6, Services: services, AgentOf: agentOf,
		ApplyWithin: 5 * time.Second,
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
	for j := vms; j < vms+added; j++ {
		if _, err := d.StartHost(j, service); err != nil {
			return nil, err
		}
	}
	d.Record.Note("%d hosts are added", added)
	// By this time, all VMs are in touch.
	deployment.Until(start, cut+settle+time.Second)
	end := time.Now().Add(32 * time.Second)
	callers, err := openFlows(d, end)
	if err != nil {
		return nil, err
	}
	for _, i := range restartOrder(d) {
		d.Record.Note("balancer-%d is stopped as planned and started again", i)
		if err := d.Balancers[i].Restart(); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
	}
	callers.Wait()
	for _, r := range d.Resets() {
		if r.Holder != nil {
			broken = append(broken, fmt.Sprintf("FLOW: %s was reset by %s, though host %s is alive and holds it", r.Flow, r.From, r.Holder.ID))
		}
	}
	return broken, nil
}

// restartOrder returns the balancers, those first through which most flows went to the added
// hosts. Any order of a planned restart is possible.
func restartOrder(d *deployment.Deployment) []int {
	placed := make([]int, len(d.Balancers))
	for _, h := range d.Hosts() {
		if h.Index < vms {
			continue
		}
		for _, o := range h.Openings() {
			placed[d.Balancer(o.Flow)]++
		}
	}
	order := make([]int, len(d.Balancers))
	for i := range order {
		order[i] = i
		d.Record.Note("%d flows went through balancer-%d to the added hosts", placed[i], i)
	}
	slices.SortStableFunc(order, func(a, b int) int { return placed[b] - placed[a] })
	return order
}

// openFlows opens flows, each of which sends requests with pauses until the end.
func openFlows(d *deployment.Deployment, end time.Time) (*sync.WaitGroup, error) {
	c, err := d.NewCaller()
	if err != nil {
		return nil, err
	}
	var all sync.WaitGroup
	for range flows {
		all.Go(func() {
			f, outcome := c.Open(d.ServiceAddress(0))
			if outcome != deployment.Opened {
				return
			}
			for time.Now().Before(end) && !f.Ended() {
				f.Request(2 * time.Second)
				time.Sleep(400 * time.Millisecond)
			}
			f.Close()
		})
		time.Sleep(10 * time.Millisecond)
	}
	return &all, nil
}
