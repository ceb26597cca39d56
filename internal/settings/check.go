package settings

import (
	"net/netip"
	"slices"
)

// crossCheck reports mistakes that concern more than one key, and fills in
// defaults that depend on other keys.
func (r *reader) crossCheck() {
	o := r.options
	r.checkAdvertised(o)
	if o.Entry.Kind == EntryProxy && !o.Entry.FabricAnswerAddress.IsValid() && !r.has("entry", "fabric_answer_address") {
		r.report("entry", "fabric_answer_address", "missing; required with kind = proxy")
	}
	if o.Entry.Kind == EntryProxy && !r.has("entry", "addresses") {
		r.report("entry", "addresses", "missing; kind = proxy requires at least one")
	}
	r.checkAdmin(o)
	r.checkRelay(o)
}

// checkRelay reports HTTP handlers that have the same address.
func (r *reader) checkRelay(o *Options) {
	keys := []string{"readiness_address", "state_address", "metrics_address"}
	used := []netip.AddrPort{o.Relay.ReadinessAddress, o.Relay.StateAddress, o.Relay.MetricsAddress}
	for i, at := range used {
		if first := slices.Index(used, at); at.IsValid() && first < i {
			r.report("relay", keys[i], "same address as "+keys[first])
		}
	}
}

// checkAdvertised makes the link address the advertised address if the file gives none,
// or reports the key as missing if the link address is unspecified.
func (r *reader) checkAdvertised(o *Options) {
	if r.has("link", "advertised_address") || !o.Link.Address.IsValid() {
		return
	}
	if o.Link.Address.Addr().IsUnspecified() {
		r.report("link", "advertised_address", "missing; required because the link address is unspecified (0.0.0.0 or ::)")
		return
	}
	o.Link.AdvertisedAddress = o.Link.Address
}

// checkAdmin reports missing TLS files, or an insecure API that is not on a loopback
// address.
func (r *reader) checkAdmin(o *Options) {
	if o.Admin.Address == (netip.AddrPort{}) {
		return
	}
	if o.Admin.Insecure {
		if !o.Admin.Address.Addr().IsLoopback() {
			r.report("admin", "insecure", "true requires a loopback address")
		}
		return
	}
	for _, key := range []string{"ca_file", "certificate_file", "key_file"} {
		if !r.has("admin", key) {
			r.report("admin", key, "missing; the administration API requires it unless insecure = true")
		}
	}
}

// has reports whether the file contains a key, whether or not its value is valid.
func (r *reader) has(section, key string) bool {
	s, err := r.file.GetSection(section)
	return err == nil && s.HasKey(key)
}
