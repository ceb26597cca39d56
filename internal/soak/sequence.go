package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/currantturn/currantturn/internal/pause"
)

// Sequence is a series of events that follows the faults of a run, once nothing is disturbed
// any more: random faults would excuse what it brings about.
type Sequence string

// Sequences of events.
const (
	NoSequence Sequence = "none"
	// CrowdedAnswer lets balancers read in one answer of the store an order to drain a failure
	// domain, a backend server that leaves and more changed registrations than a heartbeat
	// holds.
	CrowdedAnswer Sequence = "crowded_answer"
	// SilentStorm silences the open connections to the store while large configurations
	// follow each other.
	SilentStorm Sequence = "silent_storm"
	// LateOpenings pauses an agent, so that opening packets reach its backend server late,
	// and restarts it and then the balancers as planned.
	LateOpenings Sequence = "late_openings"
)

var sequences = []Sequence{NoSequence, CrowdedAnswer, SilentStorm, LateOpenings}

// sequenceOf returns the sequence of a seed.
func sequenceOf(seed uint64) Sequence {
	return sequences[seed%uint64(len(sequences))]
}

// playSequence waits until nothing is disturbed and plays a sequence.
func (r *run) playSequence(ctx context.Context, s Sequence) error {
	if s == NoSequence {
		return nil
	}
	pause.For(ctx, settleTime)
	switch s {
	case CrowdedAnswer:
		return r.crowdAnswer(ctx)
	case SilentStorm:
		r.silenceInStorm(ctx)
	case LateOpenings:
		return r.delayOpenings(ctx)
	}
	return nil
}

// crowdAnswer plays CrowdedAnswer. The first backend server with another one of its service
// in a failure domain that is not drained leaves.
func (r *run) crowdAnswer(ctx context.Context) (err error) {
	leaving := 0
	drained := len(r.vms) - 1
	for failureDomain(leaving) == failureDomain(drained) || r.operator.isLastOf(r.vms[leaving].instance().service, leaving) {
		if leaving++; leaving == drained {
			return nil // no service has two backend servers
		}
	}
	var events sync.WaitGroup
	setStore := func(f connectionFault) {
		for _, p := range r.storeProxies {
			p.setFault(f)
		}
	}
	r.withDisturbance(func() {
		setStore(resetConnections)
		pause.For(ctx, storeGap/4)
		events.Go(func() { r.drainDomain(ctx, Fault{Agent: drained, Duration: drainWithin + 2*settleTime}) })
		pause.For(ctx, storeGap/4) // the order comes first in the answer
		events.Go(func() { err = r.reuseAddress(ctx, Fault{Agent: leaving, Duration: 2 * settleTime}) })
		for j, vm := range r.vms {
			if j != leaving {
				r.operator.changeSlots(vm)
			}
		}
		pause.For(ctx, storeGap/2)
		setStore(noFault)
	}, drainSubject)
	events.Wait()
	return err
}

// silenceInStorm plays SilentStorm.
func (r *run) silenceInStorm(ctx context.Context) {
	r.withDisturbance(func() {
		for _, p := range r.storeProxies {
			p.silenceOpen()
		}
		r.operator.setFurtherRoutes(stormRoutes)
		for end := time.Now().Add(stormDuration); time.Now().Before(end); pause.For(ctx, stormInterval) {
			r.operator.configure(time.Now())
		}
	}, append(r.allSubjects(), storeSubject)...)
	pause.For(ctx, 2*settleTime)
	r.operator.setFurtherRoutes(0)
	r.operator.configure(time.Now())
}

// delayOpenings plays LateOpenings.
func (r *run) delayOpenings(ctx context.Context) error {
	const paused = 0
	r.longPauses.Store(true) // so that flows outlive the restarts
	defer r.longPauses.Store(false)
	r.pauseAndResume(ctx, Fault{Duration: maxFaultDuration}, r.agents[paused], backendSubject(paused))
	pause.For(ctx, settleTime/4)
	if err := r.stopAndRestart(r.agents[paused], backendSubject(paused)); err != nil {
		return err
	}
	pause.For(ctx, settleTime)
	for i, b := range r.balancers {
		if err := r.stopAndRestart(b, balancerSubject(i)); err != nil {
			return err
		}
		pause.For(ctx, settleTime/4)
	}
	return nil
}

// reuseAddress lets a backend server leave its address to one of another service, which its
// agent learns from its settings.
func (r *run) reuseAddress(ctx context.Context, f Fault) error {
	return r.operator.reuseAddress(ctx, f, func(service int) error {
		a := r.agents[f.Agent]
		err := a.configure(r.agentSettings(f.Agent, service, false))
		a.signal(syscall.SIGHUP)
		return err
	})
}
