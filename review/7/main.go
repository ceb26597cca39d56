// Command 7 moves the route of a service address from one service to another while the
// agents of the first service are being restarted, and checks that no balancer routes a new
// flow by the old configuration once it has routed one by the new configuration.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Times of a cycle, from the moment when the processes are killed.
const (
	cycles      = 6
	calm        = 5 * time.Second        // before each change: longer than settle_window_ms
	publishAt   = 300 * time.Millisecond // the operator moves the route
	restartAt   = 500 * time.Millisecond // the platform starts the killed processes again
	observe     = 3 * time.Second        // after the kill
	flowEvery   = 10 * time.Millisecond
	startWithin = 15 * time.Second
)

// rollbackSlack is the bound rollback_slack_ms of the site.
const rollbackSlack = 250 * time.Millisecond

func main() {
	os.Exit(run())
}

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := newRecord("review/7/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	d, err := newDeployment(record, []string{"old", "old", "old", "new", "new", "new"})
	if err != nil {
		record.note("cannot run: %v", err)
		return 2
	}
	defer d.close()
	if err := play(d, trouble); err != nil {
		record.note("cannot run: %v", err)
		return 2
	}
	broken := judge(d)
	record.note("%d requests ran by the old version after their balancer had shown the new one for more than %s", broken, rollbackSlack)
	if broken > 0 {
		return 1
	}
	return 0
}

// play runs the cycles under a constant load.
func play(d *deployment, trouble bool) error {
	d.publish("old")
	if err := d.start(startWithin); err != nil {
		return err
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.clients.load(flowEvery, stop)
	}()
	for range cycles {
		time.Sleep(calm)
		killed := time.Now()
		if trouble {
			d.killAgents("old")
		}
		time.Sleep(time.Until(killed.Add(publishAt)))
		d.publish("new")
		time.Sleep(time.Until(killed.Add(restartAt)))
		if trouble {
			if err := d.startAgents("old"); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(killed.Add(observe)))
		d.publish("old")
	}
	time.Sleep(2 * time.Second)
	close(stop)
	<-done
	if d.runs() == 0 {
		return errors.New("no request was run")
	}
	return nil
}

// judge returns the number of requests that break the rule. A version shows its effect at a
// balancer when a backend server of its service runs a request that came through there.
// Versions alternate between the two services, so what one version allows the next one does
// not.
func judge(d *deployment) (broken int) {
	versions := d.versions()
	for balancer := range d.balancers {
		shown, shownAt := -1, time.Time{}
		for _, r := range d.runsOf(balancer) {
			newest := -1
			for i, v := range versions {
				if v.service == r.service && v.published.Before(r.at) {
					newest = i
				}
			}
			switch {
			case newest > shown && (shown < 0 || r.openingSent.After(versions[newest].published)):
				shown, shownAt = newest, r.at
			case newest < shown && r.openingSent.Sub(shownAt) > rollbackSlack:
				broken++
				d.record.note("BROKEN: %s was run by service %s of version %d; its opening packet (copy %d) was sent to balancer %d %s after that balancer had shown version %d",
					r.attempt, r.service, versions[newest].number, r.copies, balancer, r.openingSent.Sub(shownAt).Round(time.Millisecond), versions[shown].number)
			}
		}
	}
	return broken
}
