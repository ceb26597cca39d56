package statesync_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Durations of the model, as the platform states them.
const (
	leaveBound      = 2 * time.Second // for which a departure can be read until no new flow is placed
	rewriteSpan     = 2 * time.Second // within which what was lost is written again
	renewalInterval = 1200 * time.Millisecond
	leaseDuration   = 3 * renewalInterval // after which a registration lapses that nobody writes
	quiet           = 4 * time.Second     // after which the state equals the store's
	drainTimeout    = 3 * time.Second     // for which a backend server serves after the store took its draining
	copyInterval    = 500 * time.Millisecond
)

// modelServer is a backend server of the model.
type modelServer struct {
	registration currantturn.Registration
	running      bool
	leftAt       time.Time     // when the store acknowledged that it drains or is gone; zero if it does not
	readable     time.Duration // for which its leaving could be read from the store
	writtenAt    time.Time
	rewriteAt    time.Time // when it writes again after the store's return; zero if it need not
}

// model plays balancers, a store and its writers.
type model struct {
	*fleet
	servers   map[currantturn.BackendID]*modelServer
	copies    []*history // the newest last, one each copyInterval
	copiedAt  time.Time
	returnsAt time.Time // when a store that is away returns; zero if it is not away
	restoreTo *history  // what it returns from; nil for its own content
	version   currantturn.Version
	// born is when each backend server's newest incarnation in force started, by balancer.
	born      []map[currantturn.BackendID]time.Time
	rewriteAt time.Time // when the operator writes the configuration again
	next      int
}

func newModel(balancers int) *model {
	m := &model{fleet: newFleet(balancers), servers: map[currantturn.BackendID]*modelServer{}}
	for range balancers {
		m.born = append(m.born, map[currantturn.BackendID]time.Time{})
	}
	m.store = newHistory()
	m.version = 7
	m.store.configure(m.version)
	for range 4 {
		m.add()
	}
	m.advance(4 * time.Second)
	return m
}

// write writes a backend server's registration if the store takes it.
func (m *model) write(s *modelServer) {
	if m.store.away {
		s.rewriteAt = m.now.Add(100 * time.Millisecond)
		return
	}
	s.registration.Sequence++
	s.writtenAt, s.rewriteAt = m.now, time.Time{}
	m.store.register(s.registration)
	if s.registration.State == currantturn.BackendDraining && s.leftAt.IsZero() {
		s.leftAt = m.now
	}
}

func (m *model) add() {
	m.next++
	s := &modelServer{registration: registration(currantturn.BackendID(fmt.Sprintf("s%03d", m.next)), 0), running: true}
	s.registration.StartedAt = m.now
	m.servers[s.registration.ID] = s
	m.write(s)
}

// reborn starts a backend server again under its ID, whether it runs or not. It knows nothing
// of before, and its sequence begins anew.
func (m *model) reborn(s *modelServer) {
	s.registration.State, s.registration.StartedAt, s.registration.Sequence = currantturn.BackendActive, m.now, 0
	s.running, s.leftAt, s.readable = true, time.Time{}, 0
	m.write(s)
}

// pick returns a running backend server that is or is not draining, or nil.
func (m *model) pick(t *rapid.T, draining bool) *modelServer {
	var ids []currantturn.BackendID
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		if s := m.servers[id]; s.running && (s.registration.State == currantturn.BackendDraining) == draining {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return m.servers[rapid.SampledFrom(ids).Draw(t, "server")]
}

// goAway takes the store away and lets it return, from a copy if age is not zero.
func (m *model) goAway(age, d time.Duration) {
	m.store.away = true
	m.returnsAt, m.restoreTo = m.now.Add(d), nil
	if age > 0 {
		m.restoreTo = m.copies[max(len(m.copies)-1-int(age/copyInterval), 0)]
	}
}

// advance plays d of the model.
func (m *model) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.stepStore()
		m.run(tickInterval)
		for i := range m.balancers {
			for _, id := range m.placeable(i) {
				s := m.servers[id]
				Expect(s.readable).To(BeNumerically("<=", leaveBound),
					"balancer %d places on %s, whose leaving could be read for that long", i, id)
			}
		}
		m.versions()
		m.incarnations()
	}
}

// incarnations expects no balancer to return to an earlier incarnation.
func (m *model) incarnations() {
	for i := range m.balancers {
		for _, e := range m.balancers[i].feed.State(m.now).Servers {
			Expect(e.StartedAt).NotTo(BeTemporally("<", m.born[i][e.ID]), "incarnation of %s at balancer %d", e.ID, i)
			m.born[i][e.ID] = e.StartedAt
		}
	}
}

// restart restarts a balancer, which then knows nothing.
func (m *model) restart(i int) {
	m.fleet.restart(i)
	clear(m.born[i])
}

// stepStore lets the store return, registrations lapse and writers write.
func (m *model) stepStore() {
	if m.store.away && !m.now.Before(m.returnsAt) {
		m.store.away = false
		if m.restoreTo != nil {
			m.store.restore(m.restoreTo)
			m.restoreTo = nil
			m.rewriteAt = m.now.Add(rewriteSpan / 2)
		}
		n := 0
		for _, id := range slices.Sorted(maps.Keys(m.servers)) {
			s := m.servers[id]
			s.writtenAt = m.now // leases begin anew
			s.rewriteAt = m.now.Add(rewriteSpan * time.Duration(n%7) / 7)
			n++
		}
	}
	if m.store.away {
		return
	}
	if !m.rewriteAt.IsZero() && !m.now.Before(m.rewriteAt) {
		m.store.configure(m.version)
		m.rewriteAt = time.Time{}
	}
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		s := m.servers[id]
		if !s.leftAt.IsZero() {
			s.readable += tickInterval
		}
		switch {
		case s.running && !s.leftAt.IsZero() && m.now.Sub(s.leftAt) > drainTimeout:
			s.running = false
			m.store.remove(id)
		case s.running && (!s.rewriteAt.IsZero() && !m.now.Before(s.rewriteAt) || m.now.Sub(s.writtenAt) > renewalInterval):
			m.write(s)
		case !s.running && m.now.Sub(s.writtenAt) > leaseDuration:
			m.store.remove(id)
		}
	}
	if m.now.Sub(m.copiedAt) >= copyInterval {
		m.copiedAt = m.now
		m.copies = append(m.copies, m.store.copied())
	}
}

// settle plays until the store is quiet and expects every balancer to have its content.
func (m *model) settle() {
	for m.store.away || !m.rewriteAt.IsZero() {
		m.advance(100 * time.Millisecond)
	}
	m.advance(max(rewriteSpan, leaseDuration) + quiet)
	Expect(m.events[event.StateDiffers]).To(BeZero(), "a false alarm")
	var want []currantturn.BackendID
	for _, id := range slices.Sorted(maps.Keys(m.store.servers)) {
		if m.store.servers[id].State == currantturn.BackendActive {
			want = append(want, id)
		}
	}
	for i := range m.balancers {
		s := m.balancers[i].feed.State(m.now)
		Expect(s.RoutingVersion()).To(Equal(m.version), "balancer %d", i)
		Expect(m.placeable(i)).To(Equal(want), "balancer %d", i)
		for _, e := range s.Servers {
			if r, found := m.store.servers[e.ID]; found {
				Expect(e.StartedAt).To(BeTemporally("==", r.StartedAt), "incarnation of %s at balancer %d", e.ID, i)
			}
		}
	}
}

var _ = Describe("eras of the store", func() {
	It("keep the bounds of playEras over random schedules", func() {
		DeferCleanup(func() { RegisterFailHandler(Fail) })
		rapid.Check(GinkgoT(), playEras)
	})
})

// disturbStore publishes a configuration, or lets the store go away, return from a copy or
// forget its history.
func (m *model) disturbStore(t *rapid.T, operation string) {
	switch operation {
	case "configure":
		if !m.store.away {
			m.version += 3
			m.store.configure(m.version)
		}
	case "restore":
		age := time.Duration(rapid.IntRange(1, 10).Draw(t, "age")) * time.Second
		m.goAway(age, time.Duration(rapid.IntRange(0, 30).Draw(t, "away"))*100*time.Millisecond)
	case "away":
		if !m.store.away {
			m.goAway(0, time.Duration(rapid.IntRange(1, 30).Draw(t, "away"))*100*time.Millisecond)
		}
	case "compact":
		m.store.compact()
	}
}

// playEras plays a random schedule of copies, outages, compactions, writers and restarts. A
// version never goes back, no backend server gets new flows once its leaving could be read
// for leaveBound, and the state is the store's when that is quiet.
func playEras(t *rapid.T) {
	RegisterFailHandler(func(message string, _ ...int) { t.Fatal(message) })
	m := newModel(rapid.IntRange(2, 6).Draw(t, "balancers"))
	restarted := time.Time{}
	for range rapid.IntRange(5, 20).Draw(t, "operations") {
		operation := rapid.SampledFrom([]string{"add", "drain", "crash", "reborn", "configure", "restore", "away", "compact", "restart", "pause"}).Draw(t, "operation")
		switch operation {
		case "add":
			m.add()
		case "drain":
			if s := m.pick(t, false); s != nil && len(m.servers) > 2 {
				s.registration.State = currantturn.BackendDraining
				m.write(s)
			}
		case "crash":
			if s := m.pick(t, false); s != nil && len(m.servers) > 2 {
				s.running = false
			}
		case "reborn":
			m.reborn(m.servers[rapid.SampledFrom(slices.Sorted(maps.Keys(m.servers))).Draw(t, "server")])
		case "configure", "restore", "away", "compact":
			m.disturbStore(t, operation)
		case "restart":
			if m.now.Sub(restarted) > time.Second { // the others know what was published
				m.restart(rapid.IntRange(0, len(m.balancers)-1).Draw(t, "balancer"))
				restarted = m.now
			}
		}
		m.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "pause")) * 50 * time.Millisecond)
	}
	m.settle()
}
