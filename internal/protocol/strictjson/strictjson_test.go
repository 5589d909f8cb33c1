package strictjson

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

type target struct {
	Name string `json:"name"`
}

// TestCheck guards against taking a text of which a part is not read: bytes behind the value,
// an earlier value of a key, or bytes that are not UTF-8.
func TestCheck(t *testing.T) {
	for _, text := range []string{`{}`, ` {"a":{"a":1},"b":[{"a":1},{"a":2}]} `, `null`, `1.5`, `"é"`} {
		assert.NilError(t, Check([]byte(text)), text)
	}
	for text, problem := range map[string]string{
		``:                               "unexpected end",
		`{}}`:                            "byte 3",
		`{} x`:                           "byte 4",
		`{}{}`:                           "byte 3",
		`[1]]`:                           "byte 4",
		`{"a":1,"a":1}`:                  "/a occurs twice",
		`{"b":[{},{"c":1,"\u0063":2}]}`:  "/b/1/c occurs twice",
		"{\"a\":\"\xff\"}":               "not UTF-8",
		strings.Repeat("[", 1<<20):       "depth",
		strings.Repeat(`{"a":`, 100_000): "depth",
	} {
		err := Check([]byte(text))
		assert.ErrorIs(t, err, ErrInvalid)
		assert.ErrorContains(t, err, problem)
	}
}

// TestUnmarshal guards against a strict decoder that loses fields or takes values of another
// type.
func TestUnmarshal(t *testing.T) {
	for _, decode := range []func([]byte, any) error{Unmarshal, UnmarshalKnown} {
		var got target
		assert.NilError(t, decode([]byte(`{"name":"a"}`), &got))
		assert.Equal(t, got.Name, "a")
		assert.ErrorIs(t, decode([]byte(`{"name":1}`), &got), ErrInvalid)
		assert.ErrorIs(t, decode([]byte(`{"name":"a"}}`), &got), ErrInvalid)
	}
	assert.NilError(t, Unmarshal([]byte(`{"other":1}`), &target{}))
	assert.ErrorContains(t, UnmarshalKnown([]byte(`{"other":1}`), &target{}), "other")
}

// FuzzCheck guards against a panic on any text, and against a text that passes although
// encoding/json does not read it as one value.
func FuzzCheck(f *testing.F) {
	f.Add(`{"a":[1,{"b":null}]}`)
	f.Add(`{"a":1,"a":2}}`)
	f.Fuzz(func(t *testing.T, text string) {
		if Check([]byte(text)) == nil {
			assert.Assert(t, json.Valid([]byte(text)))
		}
	})
}
