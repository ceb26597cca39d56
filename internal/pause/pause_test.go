package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPause(t *testing.T) { suite.Run(t, "pause") }

var _ = Describe("For", func() {
	It("waits for the duration, or until the context ends", func() {
		began := time.Now()
		Expect(pause.For(context.Background(), 10*time.Millisecond)).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically(">=", 10*time.Millisecond))
		ended, end := context.WithCancel(context.Background())
		end()
		Expect(pause.For(ended, time.Hour)).To(BeFalse())
		Expect(pause.For(ended, -time.Second)).To(BeTrue())
	})
})
