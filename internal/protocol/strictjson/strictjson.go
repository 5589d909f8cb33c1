// Package strictjson decodes JSON texts that come from outside the system. Package
// encoding/json takes a text that is not UTF-8, uses the last of several equal keys, and its
// Decoder ignores what follows the first value.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// ErrInvalid is the cause of every error of this package.
var ErrInvalid = errors.New("invalid JSON")

// Check returns an error unless data is one JSON value in UTF-8, with nothing behind it and
// without an object that has a key twice. The error names the place.
func Check(data []byte) error {
	if !utf8.Valid(data) {
		return errors.WithMessage(ErrInvalid, "not UTF-8")
	}
	// Unmarshal also bounds the depth, so that checkValue cannot exhaust the stack.
	if err := json.Unmarshal(data, new(json.RawMessage)); err != nil {
		return invalid(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	return checkValue(decoder, "")
}

// Unmarshal decodes data into target. It ignores fields that target lacks.
func Unmarshal(data []byte, target any) error {
	if err := Check(data); err != nil {
		return err
	}
	return invalid(json.Unmarshal(data, target))
}

// UnmarshalKnown decodes data into target. A field that target lacks is an error.
func UnmarshalKnown(data []byte, target any) error {
	if err := Check(data); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return invalid(decoder.Decode(target))
}

// invalid returns an error of encoding/json as one that also matches ErrInvalid, nil for nil.
func invalid(err error) error {
	if err == nil {
		return nil
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Errorf("%w: byte %d: %w", ErrInvalid, syntax.Offset, err)
	}
	return fmt.Errorf("%w: %w", ErrInvalid, err)
}

// checkValue reads one value from the decoder. The path names it in errors.
func checkValue(decoder *json.Decoder, path string) error {
	token, err := decoder.Token()
	if err != nil {
		return invalid(err)
	}
	switch token {
	case json.Delim('{'):
		err = checkObject(decoder, path)
	case json.Delim('['):
		err = checkArray(decoder, path)
	default:
		return nil
	}
	if err != nil {
		return err
	}
	_, err = decoder.Token() // the closing delimiter
	return invalid(err)
}

func checkObject(decoder *json.Decoder, path string) error {
	keys := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return invalid(err)
		}
		key, _ := token.(string)
		keyPath := path + "/" + key
		if keys[key] {
			return errors.WithMessagef(ErrInvalid, "%s occurs twice", keyPath)
		}
		keys[key] = true
		if err := checkValue(decoder, keyPath); err != nil {
			return err
		}
	}
	return nil
}

func checkArray(decoder *json.Decoder, path string) error {
	for i := 0; decoder.More(); i++ {
		if err := checkValue(decoder, path+"/"+strconv.Itoa(i)); err != nil {
			return err
		}
	}
	return nil
}
