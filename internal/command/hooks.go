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

// Sentinel errors that hooks return to choose the exit code.
var (
	// ErrRejected reports a failed invariant or a rejected patch.
	ErrRejected = errors.New("rejected")
	// ErrBadInput reports input that the command cannot use.
	ErrBadInput = errors.New("bad input")
	// ErrNotWired reports a command that this build does not carry.
	ErrNotWired = errors.New("not part of this build")
)

// Process is one run of a balancer or an agent.
type Process struct {
	Options *settings.Options
	Path    string           // of the settings file
	Reload  <-chan os.Signal // a signal says that the settings file has changed
	Log     *event.Logger
	Audit   io.Writer       // lines of the audit trail
	Stop    <-chan struct{} // closed at the first signal: shut down gracefully
}

// TryOptions choose a run of a deployment in one process.
type TryOptions struct {
	Deployment string
	Duration   time.Duration
	Seed       uint64
	Format     Format
}

// PatchCheck asks for the verdict on a patch before it is published.
type PatchCheck struct {
	Patch   []byte
	Against currantturn.Version
	Log     string // file or URL of the published log
}

// PatchVerdict is the verdict on a patch and the version that the log ends at.
type PatchVerdict struct {
	admin.DryRun
	Head currantturn.Version `json:"head"`
}

// Hooks are what the commands do.
type Hooks struct {
	// Balancer and Agent run until Stop and their graceful shutdown; the end of
	// the context stops them at once.
	Balancer func(context.Context, *Process) error
	Agent    func(context.Context, *Process) error
	// FlowBalancer and FlowAgent do the same for flows whose data stays opaque.
	FlowBalancer func(context.Context, *Process) error
	FlowAgent    func(context.Context, *Process) error
	// SettingsVariable names the environment variable that may give the settings
	// file of a process.
	SettingsVariable string
	// Try prints its report to out and its progress to progress; a failed
	// invariant is ErrRejected.
	Try func(ctx context.Context, o TryOptions, out, progress io.Writer) error
	// CheckPatch judges a patch; input that it cannot read is ErrBadInput.
	CheckPatch func(context.Context, PatchCheck) (*PatchVerdict, error)
}

// Format is the form of a command's output.
type Format string

// Formats of output.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)
