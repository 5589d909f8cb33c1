package ctl

import (
	"encoding/json"
	"reflect"
	"strings"
)

// normalizeJSON returns JSON with sorted keys and uniform indentation, so that equal
// content has equal text. Data that is not valid JSON is returned unchanged; the API
// refuses it.
func normalizeJSON(data []byte) string {
	var value any
	if json.Unmarshal(data, &value) != nil {
		return string(data)
	}
	formatted, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return string(data)
	}
	return string(formatted)
}

// equalJSON reports whether two JSON values are equal, ignoring key order and
// whitespace.
func equalJSON(a, b []byte) bool {
	var valueA, valueB any
	if json.Unmarshal(a, &valueA) != nil || json.Unmarshal(b, &valueB) != nil {
		return false
	}
	return reflect.DeepEqual(valueA, valueB)
}

// diffJSON returns a line diff of two JSON values. Lines only in before are marked "-",
// lines only in after "+", and common lines " ".
func diffJSON(before, after []byte) string {
	a := strings.Split(normalizeJSON(before), "\n")
	b := strings.Split(normalizeJSON(after), "\n")
	lengths := lcsLengths(a, b)
	var out strings.Builder
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			out.WriteString("  " + a[i] + "\n")
			i++
			j++
		case j == len(b) || (i < len(a) && lengths[i+1][j] >= lengths[i][j+1]):
			out.WriteString("- " + a[i] + "\n")
			i++
		default:
			out.WriteString("+ " + b[j] + "\n")
			j++
		}
	}
	return out.String()
}

// lcsLengths returns a table whose element [i][j] is the length of the longest common
// subsequence of a[i:] and b[j:]. Its size is quadratic, but a section has at most
// 64 KiB and so a few thousand lines.
func lcsLengths(a, b []string) [][]int32 {
	lengths := make([][]int32, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}
