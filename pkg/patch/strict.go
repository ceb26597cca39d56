package patch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
)

var keyPattern = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// checkStrict rejects JSON that encoding/json would accept: repeated keys, keys in
// another case, deep nesting and trailing input. Otherwise two readers could
// understand the same patch differently.
func checkStrict(p []byte) error {
	d := json.NewDecoder(bytes.NewReader(p))
	if err := checkStrictValue(d, 0); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected input after the patch")
	}
	return nil
}

// checkStrictValue reads one JSON value, with all that it contains, from d.
func checkStrictValue(d *json.Decoder, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("more than %d levels of nesting", maxDepth)
	}
	t, err := d.Token()
	if err != nil {
		return err
	}
	delim, ok := t.(json.Delim)
	if !ok {
		return nil
	}
	keys := map[string]bool{}
	for d.More() {
		if delim == '{' {
			if err := checkStrictKey(d, keys); err != nil {
				return err
			}
		}
		if err := checkStrictValue(d, depth+1); err != nil {
			return err
		}
	}
	_, err = d.Token()
	return err
}

// checkStrictKey reads one key from d and adds it to the object's keys so far.
func checkStrictKey(d *json.Decoder, keys map[string]bool) error {
	t, err := d.Token()
	if err != nil {
		return err
	}
	key, ok := t.(string)
	if !ok || !keyPattern.MatchString(key) {
		return fmt.Errorf("key %q is not in snake case", t)
	}
	if keys[key] {
		return fmt.Errorf("key %q is repeated", key)
	}
	keys[key] = true
	return nil
}
