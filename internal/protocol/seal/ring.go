package seal

import (
	"bytes"
	"encoding/hex"
	"slices"
	"strconv"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Key is one fleet key; an ID is never used again for another secret.
type Key struct {
	ID     uint8
	Secret [SecretBytes]byte
}

// Ring holds the valid keys, of which the active one seals.
type Ring struct {
	Active uint8
	Keys   []Key
}

func (r Ring) equal(o Ring) bool {
	return r.Active == o.Active && slices.Equal(r.Keys, o.Keys)
}

// ParseRing reads the section "keys" of an INI file: "active" names the ID that
// seals, and each other entry is an ID with its secret in hexadecimal.
func ParseRing(p []byte) (Ring, error) {
	file, err := ini.Load(bytes.NewReader(p))
	if err != nil {
		return Ring{}, eris.Wrap(currantturn.ErrMalformed, "key file is not INI")
	}
	var r Ring
	for _, entry := range file.Section("keys").Keys() {
		if err := r.addEntry(entry.Name(), entry.String()); err != nil {
			return Ring{}, err
		}
	}
	return r, r.validate()
}

// addEntry never names the secret in its errors.
func (r *Ring) addEntry(name, value string) error {
	number := name
	if name == "active" {
		number = value
	}
	id, err := strconv.ParseUint(number, 10, 8)
	if err != nil {
		return eris.Wrapf(currantturn.ErrMalformed, "key entry %q is not an ID from 0 to 255", name)
	}
	if name == "active" {
		r.Active = uint8(id)
		return nil
	}
	secret, err := hex.DecodeString(value)
	if err != nil || len(secret) != SecretBytes {
		return eris.Wrapf(currantturn.ErrMalformed, "key %d is not %d bytes in hexadecimal", id, SecretBytes)
	}
	r.Keys = append(r.Keys, Key{ID: uint8(id), Secret: [SecretBytes]byte(secret)})
	return nil
}

func (r *Ring) validate() error {
	if len(r.Keys) == 0 || len(r.Keys) > MaxKeys {
		return eris.Wrapf(currantturn.ErrMalformed, "%d keys, not 1 to %d", len(r.Keys), MaxKeys)
	}
	if len(r.Keys) == MaxKeys && r.Keys[0].ID == r.Keys[1].ID {
		return eris.Wrapf(currantturn.ErrMalformed, "key %d stands twice", r.Keys[0].ID)
	}
	for _, k := range r.Keys {
		if k.ID == r.Active {
			return nil
		}
	}
	return eris.Wrapf(currantturn.ErrMalformed, "active key %d is missing", r.Active)
}
