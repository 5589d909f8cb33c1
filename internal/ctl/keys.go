package ctl

import (
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	// organisationsPrefix is the prefix of the paths of sections that hold keys.
	organisationsPrefix = "organisations/"
	// keyDigestBytes is how much of a key's digest a difference shows, enough to tell keys
	// apart.
	keyDigestBytes = 6
)

// hideKeys returns the body of a section for output that is read over a shoulder or kept in
// a build log: an organisation's keys are replaced by the beginning of their SHA-256 digests.
// Other bodies are returned unchanged.
func hideKeys(section string, body []byte) []byte {
	if !strings.HasPrefix(section, organisationsPrefix) {
		return body
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return nil
	}
	for name, value := range fields {
		if !strings.EqualFold(name, "keys") {
			continue
		}
		var keys []string
		if json.Unmarshal(value, &keys) != nil {
			keys = []string{}
		}
		for i, key := range keys {
			digest := document.DigestKey(key)
			keys[i] = "sha256:" + hex.EncodeToString(digest[:keyDigestBytes])
		}
		fields[name], _ = json.Marshal(keys) // strings always encode
	}
	hidden, err := json.Marshal(fields)
	if err != nil {
		return nil
	}
	return hidden
}
