package admin

import (
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/pkg/patch"
	"github.com/rotisserie/eris"
)

// DryRun is the verdict that a patch would get.
type DryRun struct {
	Accepted bool                `json:"accepted"`
	Version  currantturn.Version `json:"version"` // in force after the patch
	Reasons  []string            `json:"reasons,omitempty"`
	Changes  []string            `json:"changes,omitempty"`
}

// Judge returns the verdict that a patch would get on a configuration.
func Judge(base *patch.Configuration, p []byte) DryRun {
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

// JudgeAgainst is Judge for a patch meant for a version; it reports
// ErrUnavailable unless that is the configuration's.
func JudgeAgainst(base *patch.Configuration, against currantturn.Version, p []byte) (DryRun, error) {
	if base.Version != against {
		return DryRun{}, eris.Wrapf(currantturn.ErrUnavailable, "version %d is in force here, not %d", base.Version, against)
	}
	return Judge(base, p), nil
}
