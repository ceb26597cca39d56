package suite

import (
	"flag"
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	_ "pgregory.net/rapid" // registers the flags set below
)

// fixedSeed is the random seed of ginkgo.
const fixedSeed = 1

// KnownRed is the label of the specs that KNOWN-RED.txt lists as failing; they are
// skipped if the environment variable KNOWN_RED is "skip".
const KnownRed = "known-red"

// FixSeed sets the seed of rapid unless the command line sets another one.
func FixSeed() {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1") // the value is a number
	}
}

// Run runs the package's ginkgo specs, with fixed seeds unless the command line
// sets others.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	FixSeed()
	suiteConfig, reporterConfig := ginkgo.GinkgoConfiguration()
	if f := flag.Lookup("ginkgo.seed"); f == nil || f.Value.String() == f.DefValue {
		suiteConfig.RandomSeed = fixedSeed
	}
	if os.Getenv("KNOWN_RED") == "skip" {
		suiteConfig.LabelFilter = "!" + KnownRed
	}
	ginkgo.RunSpecs(t, name, suiteConfig, reporterConfig)
}
