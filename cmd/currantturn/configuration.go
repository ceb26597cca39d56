package main

import (
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/command"
	"github.com/currantturn/currantturn/internal/vet"
	"github.com/currantturn/currantturn/platform"
	"github.com/rotisserie/eris"
)

// checkConfiguration checks a configuration, with the registrations and against the
// configuration in force if they are given.
func checkConfiguration(c command.ConfigurationCheck) (*command.ConfigurationVerdict, error) {
	draft, findings, err := platform.ReadDraft(c.Configuration)
	if err != nil {
		return nil, eris.Wrapf(command.ErrBadInput, "configuration: %v", err)
	}
	var registrations []currantturn.Registration
	if c.Registrations != nil {
		var unreadable []vet.Finding
		if registrations, unreadable, err = platform.ReadRegistrations(c.Registrations); err != nil {
			return nil, eris.Wrapf(command.ErrBadInput, "registrations: %v", err)
		}
		findings = append(findings, unreadable...)
	}
	v := &command.ConfigurationVerdict{Version: draft.Version, Changes: []string{}}
	if c.InForce != nil {
		inForce, _, err := platform.ReadDraft(c.InForce) // its errors were there before
		if err != nil {
			return nil, eris.Wrapf(command.ErrBadInput, "configuration in force: %v", err)
		}
		findings = append(findings, vet.CheckVersion(inForce, draft)...)
		v.InForce, v.Changes = inForce.Version, append(v.Changes, vet.Diff(inForce, draft)...)
	}
	v.Findings = append([]vet.Finding{}, append(findings, vet.Check(draft, registrations)...)...)
	v.Accepted = !vet.HasErrors(v.Findings)
	return v, nil
}
