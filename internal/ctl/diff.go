package ctl

import (
	"encoding/json"
	"reflect"
	"strings"
)

// pretty returns the JSON in a form that is the same for the same content.
// Data that is not JSON is returned as it is; the API refuses it.
func pretty(data []byte) string {
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

// sameContent compares two JSON values without regard to order and space.
func sameContent(a, b []byte) bool {
	var first, second any
	if json.Unmarshal(a, &first) != nil || json.Unmarshal(b, &second) != nil {
		return false
	}
	return reflect.DeepEqual(first, second)
}

// difference returns the lines of both JSON values, marked "-" when only in the
// first, "+" when only in the second, and " " otherwise.
func difference(before, after []byte) string {
	a := strings.Split(pretty(before), "\n")
	b := strings.Split(pretty(after), "\n")
	common := commonLengths(a, b)
	var out strings.Builder
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			out.WriteString("  " + a[i] + "\n")
			i++
			j++
		case j == len(b) || (i < len(a) && common[i+1][j] >= common[i][j+1]):
			out.WriteString("- " + a[i] + "\n")
			i++
		default:
			out.WriteString("+ " + b[j] + "\n")
			j++
		}
	}
	return out.String()
}

// commonLengths returns the length of the longest common subsequence of a[i:] and
// b[j:] for all i and j. Sections have at most 64 KiB, so a few thousand lines.
func commonLengths(a, b []string) [][]int32 {
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
