package admin

import (
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/pkg/patch"
	"github.com/rotisserie/eris"
)

// DryRun is the verdict that a patch would receive if it were published.
type DryRun struct {
	Accepted bool                `json:"accepted"`
	Version  currantturn.Version `json:"version"` // in force after the patch has been published
	Reasons  []string            `json:"reasons,omitempty"`
	Changes  []string            `json:"changes,omitempty"`
}

// CheckPatch returns the verdict on a patch p to the configuration base.
func CheckPatch(base *patch.Configuration, p []byte) DryRun {
	verdict, diff := patch.Check(base, p)
	d := DryRun{Accepted: verdict.Outcome == patch.InForce, Version: verdict.Version}
	for _, r := range verdict.Reasons {
		d.Reasons = append(d.Reasons, r.Error())
	}
	for _, c := range diff {
		d.Changes = append(d.Changes, c.String())
	}
	return d
}

// CheckPatchAgainst is CheckPatch for a patch that builds on the version against.
// It returns ErrUnavailable if base has another version.
func CheckPatchAgainst(base *patch.Configuration, against currantturn.Version, p []byte) (DryRun, error) {
	if base.Version != against {
		return DryRun{}, eris.Wrapf(currantturn.ErrUnavailable, "version %d is in force here, not %d", base.Version, against)
	}
	return CheckPatch(base, p), nil
}
