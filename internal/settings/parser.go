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

// The functions below each return the parser for one type of value.

func durations(lo, hi time.Duration) parser[time.Duration] {
	valueRange := fmt.Sprintf("%s to %s", formatDuration(lo), formatDuration(hi))
	return parser[time.Duration]{"duration", valueRange, func(_ *parseContext, s string) (time.Duration, error) {
		d, err := time.ParseDuration(s)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration such as 500ms or 30s", s)
		}
		return d, checkRange(s, valueRange, d >= lo && d <= hi)
	}}
}

// formatDuration formats a duration without trailing zero minutes and seconds.
func formatDuration(d time.Duration) string {
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
	valueRange := fmt.Sprintf("%d to %d", lo, hi)
	return parser[int]{unit, valueRange, func(_ *parseContext, s string) (int, error) {
		n, err := strconv.Atoi(s)
		if err != nil {
			return 0, fmt.Errorf("%q is not a whole number", s)
		}
		return n, checkRange(s, valueRange, n >= lo && n <= hi)
	}}
}

func rates(unit string, lo, hi float64) parser[float64] {
	valueRange := fmt.Sprintf("%g to %g", lo, hi)
	return parser[float64]{unit, valueRange, func(_ *parseContext, s string) (float64, error) {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return 0, fmt.Errorf("%q is not a number", s)
		}
		return f, checkRange(s, valueRange, f >= lo && f <= hi)
	}}
}

func sizes(lo, hi int64) parser[int64] {
	valueRange := fmt.Sprintf("%s to %s", formatSize(lo), formatSize(hi))
	return parser[int64]{"bytes (KiB, MiB)", valueRange, func(_ *parseContext, s string) (int64, error) {
		n, err := parseSize(s)
		if err != nil {
			return 0, err
		}
		return n, checkRange(s, valueRange, n >= lo && n <= hi)
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

func checkRange(s, valueRange string, ok bool) error {
	if !ok {
		return fmt.Errorf("%s is out of range (%s)", s, valueRange)
	}
	return nil
}

func choices[T ~string](all ...T) parser[T] {
	names := make([]string, len(all))
	for i, c := range all {
		names[i] = string(c)
	}
	valueRange := strings.Join(names, ", ")
	return parser[T]{"choice", valueRange, func(_ *parseContext, s string) (T, error) {
		if !slices.Contains(names, s) {
			return "", fmt.Errorf("%q is not one of: %s", s, valueRange)
		}
		return T(s), nil
	}}
}

const unitBoolean = "boolean"

func booleans() parser[bool] {
	return parser[bool]{unitBoolean, "true, false", func(_ *parseContext, s string) (bool, error) {
		if s != "true" && s != "false" {
			return false, fmt.Errorf("%q is neither true nor false", s)
		}
		return s == "true", nil
	}}
}

func names[T ~string]() parser[T] {
	valueRange := fmt.Sprintf("1 to %d bytes of a-z, 0-9, '-', '.' and '_'", maxNameBytes)
	return parser[T]{"name", valueRange, func(_ *parseContext, s string) (T, error) {
		bad := strings.ContainsFunc(s, func(r rune) bool {
			return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789-._", r)
		})
		if bad || s == "" || len(s) > maxNameBytes {
			return "", fmt.Errorf("%q is not a name (%s)", s, valueRange)
		}
		return T(s), nil
	}}
}

func addresses() parser[netip.AddrPort] {
	return parser[netip.AddrPort]{"IP:port", "port 1 to 65535", parseAddress}
}

func parseAddress(_ *parseContext, s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return netip.AddrPort{}, fmt.Errorf("%q is not an IP address and port such as 192.0.2.1:7000", s)
	}
	return a, nil
}

func loopbackAddresses() parser[netip.AddrPort] {
	return parser[netip.AddrPort]{"IP:port", "loopback, port 1 to 65535", func(c *parseContext, s string) (netip.AddrPort, error) {
		a, err := parseAddress(c, s)
		if err == nil && !a.Addr().IsLoopback() {
			err = fmt.Errorf("%s is not a loopback address", s)
		}
		return a, err
	}}
}

func urls() parser[*url.URL] {
	return parser[*url.URL]{"URL", "http or https, host by IP", func(_ *parseContext, s string) (*url.URL, error) {
		u, err := url.Parse(s)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, fmt.Errorf("%q is not an http or https URL", s)
		}
		if _, err := netip.ParseAddr(u.Hostname()); err != nil {
			return nil, fmt.Errorf("%q has a host that is not an IP address", s)
		}
		return u, nil
	}}
}

// lists accepts values separated by commas and reports all invalid ones.
func lists[T any](p parser[T]) parser[[]T] {
	return parser[[]T]{"list of " + p.unit, p.valueRange, func(c *parseContext, s string) ([]T, error) {
		parts := strings.Split(s, ",")
		if len(parts) > maxListEntries {
			return nil, fmt.Errorf("%d entries exceed the limit of %d", len(parts), maxListEntries)
		}
		var all []T
		var errs []error
		for _, part := range parts {
			v, err := p.parse(c, strings.TrimSpace(part))
			errs = append(errs, err)
			all = append(all, v)
		}
		return all, joinErrors(errs)
	}}
}

// joinErrors returns one error with the texts of all errors that are not nil, on
// one line.
func joinErrors(errs []error) error {
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

// files accepts the path of a readable file; a relative path starts at the
// directory of the settings file.
func files() parser[string] {
	return parser[string]{"path", "readable file of 1 byte to " + formatSize(maxNamedFileBytes), func(c *parseContext, s string) (string, error) {
		path := s
		if !filepath.IsAbs(path) {
			path = filepath.Join(c.dir, path)
		}
		return path, checkFile(path)
	}}
}

// checkFile checks that path is a regular, readable file of an allowed size.
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
