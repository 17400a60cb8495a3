package settings

import (
	"iter"
	"maps"
	"reflect"
	"strings"
	"sync"
)

// knownKeys returns the keys of all values and lists, in the order of the struct.
var knownKeys = sync.OnceValue(func() []string { return keysOf(reflect.TypeFor[Settings](), "") })

func keysOf(t reflect.Type, parent string) []string {
	var keys []string
	for i := range t.NumField() {
		key := join(parent, t.Field(i).Tag.Get("yaml"))
		if t.Field(i).Type.Kind() == reflect.Struct {
			keys = append(keys, keysOf(t.Field(i).Type, key)...)
		} else {
			keys = append(keys, key)
		}
	}
	return keys
}

// siblings returns the names of the keys of a group or of a list's elements.
func siblings(parent string) []string {
	t := reflect.TypeFor[Settings]()
	if parent != "" {
		for name := range strings.SplitSeq(parent, ".") {
			name, _, _ = strings.Cut(name, "[")
			for i := range t.NumField() {
				if t.Field(i).Tag.Get("yaml") == name {
					t = t.Field(i).Type
					break
				}
			}
			if t.Kind() == reflect.Slice {
				t = t.Elem()
			}
		}
	}
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("yaml"))
	}
	return names
}

// suggest returns the remedy for an unknown key: the same name in another group, or the
// most similar name in its own group.
func suggest(parent, name string) string {
	last := name[strings.LastIndexByte(name, '.')+1:]
	for _, key := range knownKeys() {
		if strings.HasSuffix(key, "."+last) {
			return "remove it, or use " + key
		}
	}
	candidates := siblings(parent)
	if last != name {
		candidates = knownKeys()
	}
	best := nearest(name, candidates)
	return "remove it, or use " + join(parent, best)
}

func mapKeys(m map[string]string) iter.Seq[string] { return maps.Keys(m) }

// nearest returns the candidate with the smallest edit distance to the name.
func nearest(name string, candidates []string) string {
	best, distance := "", 0
	for _, candidate := range candidates {
		if d := editDistance(name, candidate); best == "" || d < distance {
			best, distance = candidate, d
		}
	}
	return best
}

// editDistance returns the number of single-byte edits between two names (Levenshtein).
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
