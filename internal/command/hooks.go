package command

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/admin"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/settings"
)

// Sentinel errors that determine the exit code.
var (
	// ErrRejected reports a failed invariant or a rejected patch.
	ErrRejected = errors.New("rejected")
	// ErrBadInput reports input that the command cannot use.
	ErrBadInput = errors.New("bad input")
	// ErrNotInBuild reports a command whose hook this build does not provide.
	ErrNotInBuild = errors.New("not part of this build")
)

// Process holds what a hook needs to run a balancer or an agent.
type Process struct {
	Options      *settings.Options
	SettingsPath string
	Reload       <-chan os.Signal // receives SIGHUP, which means that the settings file has changed
	Log          *event.Logger
	AuditOut     io.Writer       // receives the JSON lines of the audit trail
	Stop         <-chan struct{} // closed on the first termination signal, to shut down gracefully
}

// TryOptions configure a run of a whole deployment in one process.
type TryOptions struct {
	Deployment string
	Duration   time.Duration
	Seed       uint64
	Format     Format
}

// PatchCheck is a patch to check before it is published.
type PatchCheck struct {
	Patch   []byte
	Against currantturn.Version // version that the patch builds on
	Log     string              // file or URL of the published log
}

// PatchVerdict is the verdict on a patch, with the last version in the log.
type PatchVerdict struct {
	admin.DryRun
	Head currantturn.Version `json:"head"`
}

// Hooks do the work of the commands; a nil hook makes its command fail with
// ErrNotInBuild.
type Hooks struct {
	// Balancer and Agent run until Process.Stop is closed and they have shut down
	// gracefully. Cancelling the context stops them immediately.
	Balancer func(context.Context, *Process) error
	Agent    func(context.Context, *Process) error
	// FlowBalancer and FlowAgent do the same for flows whose data is opaque to
	// the load balancer.
	FlowBalancer func(context.Context, *Process) error
	FlowAgent    func(context.Context, *Process) error
	// SettingsVariable names the environment variable that holds the path of the
	// settings file if the flag is not given.
	SettingsVariable string
	// Try writes its report to out and its progress to progress, and returns
	// ErrRejected if an invariant failed.
	Try func(ctx context.Context, o TryOptions, out, progress io.Writer) error
	// CheckPatch returns the verdict on a patch, or ErrBadInput if the patch or the
	// log cannot be read.
	CheckPatch func(context.Context, PatchCheck) (*PatchVerdict, error)
	// CheckConfiguration returns the verdict on a configuration of opaque flows, or
	// ErrBadInput if it cannot be read.
	CheckConfiguration func(ConfigurationCheck) (*ConfigurationVerdict, error)
}

// Format is the output format of a command.
type Format string

// Output formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)
