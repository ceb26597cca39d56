package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Case runs the sequence of one case. It returns what broke the rule.
type Case func(trouble bool) (broken []string, err error)

// Main runs a case and exits with its verdict. The environment variable TROUBLE is 0 if the
// disruption is to be left out.
func Main(run Case) {
	broken, err := run(os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(exitNotRun)
	case len(broken) == 0:
		fmt.Println("the rule held")
		os.Exit(exitHeld)
	}
	const shown = 5
	for i, b := range broken {
		if i == shown {
			fmt.Printf("and %d more\n", len(broken)-shown)
			break
		}
		fmt.Println(b)
	}
	fmt.Printf("the rule was broken %d times\n", len(broken))
	os.Exit(exitBroken)
}

// Program returns the path of the program that the build of the deploy file leaves.
func Program() string { return filepath.Join("target", "currantturn") }

// Until waits until a time after the start of a phase.
func Until(start time.Time, after time.Duration) { time.Sleep(time.Until(start.Add(after))) }
