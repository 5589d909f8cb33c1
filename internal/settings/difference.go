package settings

import (
	"reflect"
	"strings"
)

// differingFields returns the JSON names of the fields in which two structs of the same
// type differ.
func differingFields(a, b any) []string {
	var names []string
	left, right := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range left.NumField() {
		if reflect.DeepEqual(left.Field(i).Interface(), right.Field(i).Interface()) {
			continue
		}
		name, _, _ := strings.Cut(left.Type().Field(i).Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}
