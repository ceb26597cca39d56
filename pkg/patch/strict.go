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

// strict reports JSON that encoding/json would read leniently: repeated keys,
// keys in another case, deep nesting or trailing input.
func strict(p []byte) error {
	d := json.NewDecoder(bytes.NewReader(p))
	if err := strictValue(d, 0); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("input goes on after the patch")
	}
	return nil
}

func strictValue(d *json.Decoder, depth int) error {
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
			if err := strictKey(d, keys); err != nil {
				return err
			}
		}
		if err := strictValue(d, depth+1); err != nil {
			return err
		}
	}
	_, err = d.Token()
	return err
}

func strictKey(d *json.Decoder, keys map[string]bool) error {
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
