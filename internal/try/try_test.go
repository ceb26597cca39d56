package try_test

import (
	"context"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/try"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTry(t *testing.T) { suite.Run(t, "try") }

var _ = Describe("a run", func() {
	It("holds what must hold over the planned changes", func(ctx context.Context) {
		r, err := try.Run(ctx, try.Options{Deployment: "polepa", Duration: try.MinDuration, Seed: 1, Progress: GinkgoWriter})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Failures()).To(BeEmpty())
		Expect(r.Answered).To(BeNumerically(">", 0))
	})

	It("rejects an unknown deployment and a duration out of range", func(ctx context.Context) {
		_, err := try.Run(ctx, try.Options{Deployment: "other"})
		Expect(err).To(MatchError(try.ErrUnknownDeployment))
		_, err = try.Run(ctx, try.Options{Deployment: "polepa", Duration: time.Second})
		Expect(err).To(MatchError(try.ErrOptions))
	})
})
