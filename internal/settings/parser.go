package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

func durations(lo, hi time.Duration) parser[time.Duration] {
	accept := fmt.Sprintf("%s to %s", short(lo), short(hi))
	return parser[time.Duration]{"duration", accept, func(_ *context, s string) (time.Duration, error) {
		d, err := time.ParseDuration(s)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration such as 500ms or 30s", s)
		}
		return d, inRange(s, accept, d >= lo && d <= hi)
	}}
}

// short drops the zero minutes and seconds of a duration's text.
func short(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func counts(unit string, lo, hi int) parser[int] {
	accept := fmt.Sprintf("%d to %d", lo, hi)
	return parser[int]{unit, accept, func(_ *context, s string) (int, error) {
		n, err := strconv.Atoi(s)
		if err != nil {
			return 0, fmt.Errorf("%q is not a whole number", s)
		}
		return n, inRange(s, accept, n >= lo && n <= hi)
	}}
}

func rates(unit string, lo, hi float64) parser[float64] {
	accept := fmt.Sprintf("%g to %g", lo, hi)
	return parser[float64]{unit, accept, func(_ *context, s string) (float64, error) {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return 0, fmt.Errorf("%q is not a number", s)
		}
		return f, inRange(s, accept, f >= lo && f <= hi)
	}}
}

func sizes(lo, hi int64) parser[int64] {
	accept := fmt.Sprintf("%s to %s", formatSize(lo), formatSize(hi))
	return parser[int64]{"bytes (KiB, MiB)", accept, func(_ *context, s string) (int64, error) {
		n, err := parseSize(s)
		if err != nil {
			return 0, err
		}
		return n, inRange(s, accept, n >= lo && n <= hi)
	}}
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

func parseSize(s string) (int64, error) {
	unit := int64(1)
	digits := s
	if n, ok := strings.CutSuffix(s, "KiB"); ok {
		unit, digits = kibibyte, n
	} else if n, ok := strings.CutSuffix(s, "MiB"); ok {
		unit, digits = mebibyte, n
	}
	n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%q is not a size such as 4096 or 64KiB", s)
	}
	return n * unit, nil
}

func formatSize(n int64) string {
	switch {
	case n >= mebibyte && n%mebibyte == 0:
		return fmt.Sprintf("%dMiB", n/mebibyte)
	case n >= kibibyte && n%kibibyte == 0:
		return fmt.Sprintf("%dKiB", n/kibibyte)
	default:
		return strconv.FormatInt(n, 10)
	}
}

func inRange(s, accept string, ok bool) error {
	if !ok {
		return fmt.Errorf("%s is out of range (%s)", s, accept)
	}
	return nil
}

func choices[T ~string](all ...T) parser[T] {
	names := make([]string, len(all))
	for i, c := range all {
		names[i] = string(c)
	}
	accept := strings.Join(names, ", ")
	return parser[T]{"choice", accept, func(_ *context, s string) (T, error) {
		if !slices.Contains(names, s) {
			return "", fmt.Errorf("%q is not one of: %s", s, accept)
		}
		return T(s), nil
	}}
}

const unitBoolean = "boolean"

func booleans() parser[bool] {
	return parser[bool]{unitBoolean, "true, false", func(_ *context, s string) (bool, error) {
		if s != "true" && s != "false" {
			return false, fmt.Errorf("%q is neither true nor false", s)
		}
		return s == "true", nil
	}}
}

func names[T ~string]() parser[T] {
	accept := fmt.Sprintf("1 to %d bytes of a-z, 0-9, '-', '.' and '_'", maxNameBytes)
	return parser[T]{"name", accept, func(_ *context, s string) (T, error) {
		bad := strings.ContainsFunc(s, func(r rune) bool {
			return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789-._", r)
		})
		if bad || s == "" || len(s) > maxNameBytes {
			return "", fmt.Errorf("%q is not a name (%s)", s, accept)
		}
		return T(s), nil
	}}
}

func addresses() parser[netip.AddrPort] {
	return parser[netip.AddrPort]{"IP:port", "port 1 to 65535", parseAddress}
}

func parseAddress(_ *context, s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return netip.AddrPort{}, fmt.Errorf("%q is not an IP address and port such as 192.0.2.1:7000", s)
	}
	return a, nil
}

func loopbackAddresses() parser[netip.AddrPort] {
	return parser[netip.AddrPort]{"IP:port", "loopback, port 1 to 65535", func(c *context, s string) (netip.AddrPort, error) {
		a, err := parseAddress(c, s)
		if err == nil && !a.Addr().IsLoopback() {
			err = fmt.Errorf("%s is not a loopback address", s)
		}
		return a, err
	}}
}

func urls() parser[*url.URL] {
	return parser[*url.URL]{"URL", "http or https, host by IP", func(_ *context, s string) (*url.URL, error) {
		u, err := url.Parse(s)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, fmt.Errorf("%q is not an http or https URL", s)
		}
		if _, err := netip.ParseAddr(u.Hostname()); err != nil {
			return nil, fmt.Errorf("%q does not name its host by IP address", s)
		}
		return u, nil
	}}
}

// lists accepts values separated by commas and reports each bad one.
func lists[T any](p parser[T]) parser[[]T] {
	return parser[[]T]{"list of " + p.unit, p.accept, func(c *context, s string) ([]T, error) {
		parts := strings.Split(s, ",")
		if len(parts) > maxListEntries {
			return nil, fmt.Errorf("%d entries are more than %d", len(parts), maxListEntries)
		}
		var all []T
		var errs []error
		for _, part := range parts {
			v, err := p.parse(c, strings.TrimSpace(part))
			errs = append(errs, err)
			all = append(all, v)
		}
		return all, oneLine(errs)
	}}
}

func oneLine(errs []error) error {
	var texts []string
	for _, err := range errs {
		if err != nil {
			texts = append(texts, err.Error())
		}
	}
	if texts == nil {
		return nil
	}
	return errors.New(strings.Join(texts, "; "))
}

// files accepts the path of a readable file, relative to the settings file.
func files() parser[string] {
	return parser[string]{"path", "readable file of 1 byte to " + formatSize(maxNamedFileBytes), func(c *context, s string) (string, error) {
		path := s
		if !filepath.IsAbs(path) {
			path = filepath.Join(c.dir, path)
		}
		return path, checkFile(path)
	}}
}

func checkFile(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if !info.Mode().IsRegular() || info.Size() == 0 || info.Size() > maxNamedFileBytes {
		return fmt.Errorf("%s is not a regular file of 1 byte to %s", path, formatSize(maxNamedFileBytes))
	}
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return f.Close()
}
