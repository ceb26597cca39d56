package claim_test

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/claim"
	"github.com/currantturn/currantturn/internal/protocol/request"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the attempts that a planned stop waits for", func() {
	It("exclude reports to an owner that has ended, but not to one that is only slow", func() {
		o := newSuccessiveOwners(1 << 20)
		o.configureUpTo(0, 1) // the owner
		o.configureUpTo(1, 1)
		runner := o.claims[1]
		var out currantturn.Effects
		granted := false
		id := runner.Begin(o.now, o.key, request.Digest{}, o.now.Add(time.Second), false,
			func(v claim.Verdict) { granted = v.State == claim.Granted }, &out)
		Expect(runner.Unfinished(o.now)).To(Equal(1))
		for _, s := range out.Sends {
			for _, reply := range o.handle(0, 1, s.Message) {
				o.handle(1, 0, reply)
			}
		}
		Expect(granted).To(BeTrue())
		Expect(runner.Start(o.now, id, &out)).To(BeTrue())
		Expect(runner.Unfinished(o.now)).To(Equal(1))

		runner.Suspect(o.address[0], o.now.Add(time.Second))
		Expect(runner.Unfinished(o.now)).To(Equal(1), "the request still runs")
		runner.Done(o.now, id, claim.Answered, nil, &out)
		Expect(runner.Unfinished(o.now)).To(BeZero())
		Expect(runner.Unfinished(o.now.Add(time.Second))).To(Equal(1), "the owner is no longer reported as ended")
	})
})
