// Command 6 lets a balancer freeze and wake again while one agent is restarted as planned,
// and checks that no open flow of a backend server that serves is reset later on.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"
)

// Times of a cycle, from the moment when the balancer freezes.
const (
	cycles       = 7
	calm         = time.Second             // before each cycle
	freezeFor    = 3500 * time.Millisecond // as in the site file
	openUntil    = 1200 * time.Millisecond // clients open flows
	openEvery    = 8 * time.Millisecond
	restartAt    = 1700 * time.Millisecond // one agent receives SIGTERM
	restartDelay = 500 * time.Millisecond  // the platform starts it again
	startWithin  = 15 * time.Second
)

// settleWindow is the bound settle_window_ms of the site.
const settleWindow = 4 * time.Second

func main() {
	os.Exit(run())
}

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := newRecord("review/6/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	d, err := newDeployment(record, []string{"cellstatus", "cellstatus", "cellstatus"})
	if err != nil {
		record.note("cannot run: %v", err)
		return 2
	}
	defer d.close()
	d.publish("cellstatus")
	if err := d.start(startWithin); err != nil {
		record.note("cannot run: %v", err)
		return 2
	}
	go d.clients.probe(d.stop)
	broken, served := 0, 0
	for n := range cycles {
		time.Sleep(calm)
		b, s, err := cycle(d, n, trouble)
		if err != nil {
			record.note("cannot run: %v", err)
			return 2
		}
		broken += b
		served += s
	}
	record.note("%d second requests were answered; %d open flows were reset that their backend server held, by machines in touch", served, broken)
	switch {
	case served == 0:
		return 2
	case broken > 0:
		return 1
	}
	return 0
}

// cycle returns how many open flows were reset against the rule, and how many were served.
func cycle(d *deployment, n int, trouble bool) (broken, served int, err error) {
	began := time.Now()
	frozen := n % len(d.balancers)
	var wg sync.WaitGroup
	woke := time.Time{}
	wg.Go(func() {
		if trouble {
			d.freeze(frozen, freezeFor)
			woke = time.Now()
		} else {
			time.Sleep(freezeFor)
		}
	})
	var flows []*flow
	var opening sync.WaitGroup
	for time.Since(began) < openUntil {
		f := d.clients.newFlow()
		flows = append(flows, f)
		opening.Go(f.openAndRequest)
		time.Sleep(openEvery)
	}
	time.Sleep(time.Until(began.Add(restartAt)))
	err = d.restartAgent(n%len(d.agents), restartDelay)
	restarted := time.Now()
	wg.Wait()
	opening.Wait()
	if err != nil {
		return 0, 0, err
	}
	settled := woke
	if restarted.After(settled) {
		settled = restarted
	}
	time.Sleep(time.Until(settled.Add(settleWindow + 300*time.Millisecond)))
	var mu sync.Mutex
	var requests sync.WaitGroup
	for _, f := range flows {
		if !f.isOpen {
			continue
		}
		requests.Go(func() {
			outcome, sender := f.request(2)
			mu.Lock()
			defer mu.Unlock()
			switch outcome {
			case answered:
				served++
			case wasReset:
				if held, by := d.holder(f.from); held {
					broken++
					d.record.note("BROKEN: %s, open for %s, was reset by %s while host %s holds it", f, time.Since(f.opened).Round(time.Millisecond), sender, by)
				}
			}
			f.close()
		})
	}
	requests.Wait()
	return broken, served, nil
}

// holder returns whether a backend server holds the open flow of a caller, and which.
func (d *deployment) holder(caller netip.AddrPort) (held bool, id string) {
	for _, h := range d.hosts {
		if h.holds(caller) {
			return true, h.id
		}
	}
	return false, ""
}
