package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

const (
	// envPrefix starts the environment variables that override a key.
	envPrefix = "MANGOSHED_"
	// EnvFile names the settings file; it overrides no key.
	EnvFile = envPrefix + "SETTINGS"
	// maxFileBytes bounds the settings file.
	maxFileBytes = 1 << 20
)

// Load reads the settings file and applies the environment (NAME=VALUE, as os.Environ
// returns it), then the overrides (KEY=VALUE, as the flag --set has it). An empty path
// reads no file. The error is an *Errors with all faults.
func Load(path string, env []string, overrides ...string) (*Settings, error) {
	s := Default()
	l := &loader{file: path, origins: map[string]origin{}}
	if path != "" {
		l.loadFile(&s)
	}
	l.loadEnv(&s, env)
	l.loadOverrides(&s, overrides)
	if !l.unread {
		l.check(&s)
	}
	if len(l.faults) > 0 {
		return nil, &Errors{List: l.faults}
	}
	return &s, nil
}

// Check applies the rules for values to settings that were not read by Load. The error
// is an *Errors.
func Check(s *Settings) error {
	l := &loader{origins: map[string]origin{}}
	l.check(s)
	if len(l.faults) > 0 {
		return &Errors{List: l.faults}
	}
	return nil
}

// origin is where the value of a key comes from.
type origin struct {
	source string
	line   int
	faulty bool // the value was reported already
}

// loader holds the state of one Load call.
type loader struct {
	file    string
	origins map[string]origin // by key
	faults  []*Error
	// unread is set when a source could not be read as a whole; values are not checked
	// then, because most would be reported as missing.
	unread bool
}

func (l *loader) add(o origin, key, value, problem, remedy string) {
	l.faults = append(l.faults, &Error{Source: o.source, Line: o.line, Key: key, Value: value, Problem: problem, Remedy: remedy})
}

func (l *loader) loadFile(s *Settings) {
	data, err := os.ReadFile(l.file)
	if err == nil && len(data) > maxFileBytes {
		err = fmt.Errorf("file has more than %d bytes", maxFileBytes)
	}
	if err != nil {
		l.add(origin{source: l.file}, "", "", "file cannot be read: "+err.Error(), "check the path and the permissions")
		l.unread = true
		return
	}
	l.decode(data, reflect.ValueOf(s).Elem(), "", origin{source: l.file})
}

// decode parses YAML into the value of a key.
func (l *loader) decode(data []byte, into reflect.Value, key string, o origin) {
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey()) // walk reports duplicates with all other faults
	if err != nil {
		l.addSyntax(err, key, o)
		return
	}
	if len(file.Docs) > 1 {
		l.add(o, key, "", "more than one YAML document", "keep one document")
		return
	}
	if len(file.Docs) == 1 && file.Docs[0].Body != nil {
		l.walk(file.Docs[0].Body, into, key, o)
	}
}

// addSyntax reports text that is not YAML, with its line.
func (l *loader) addSyntax(err error, key string, o origin) {
	problem := err.Error()
	var positioned yaml.Error
	if errors.As(err, &positioned) {
		problem = positioned.GetMessage()
		if token := positioned.GetToken(); token != nil && o.source == l.file {
			o.line = token.Position.Line
		}
	}
	l.add(o, key, "", "not YAML: "+problem, "correct the syntax")
	l.unread = true
}

// walk decodes a node into a value; struct keys are checked against the fields.
func (l *loader) walk(node ast.Node, into reflect.Value, key string, o origin) {
	if o.source == l.file {
		o.line = node.GetToken().Position.Line
	}
	l.origins[key] = o
	switch {
	case node.Type() == ast.NullType:
	case into.Kind() == reflect.Struct:
		mapping, ok := node.(ast.MapNode)
		if !ok {
			l.fault(o, key, node, "a group of keys is expected", "see mangoshed settings example")
			return
		}
		seen := map[string]bool{}
		for entries := mapping.MapRange(); entries.Next(); {
			l.walkEntry(entries.KeyValue(), into, key, o, seen)
		}
	case into.Kind() == reflect.Slice:
		sequence, ok := node.(*ast.SequenceNode)
		if !ok {
			l.fault(o, key, node, "a list is expected", "start each element with a hyphen, or use [] for none")
			return
		}
		into.Set(reflect.MakeSlice(into.Type(), len(sequence.Values), len(sequence.Values)))
		for i, element := range sequence.Values {
			l.walk(element, into.Index(i), fmt.Sprintf("%s[%d]", key, i), o)
		}
	case into.Kind() == reflect.String && isNumberOrBool(node):
		into.SetString(node.GetToken().Value) // as written: an ID may look like a number
	default:
		// The library rounds fractions to integers without an error.
		whole := into.Kind() != reflect.Int || node.Type() == ast.IntegerType
		if err := yaml.NodeToValue(node, into.Addr().Interface(), yaml.Strict()); err != nil || !whole {
			l.fault(o, key, node, "value cannot be read as "+kindNames[into.Kind()], "see mangoshed settings example")
		}
	}
}

func isNumberOrBool(node ast.Node) bool {
	return node.Type() == ast.IntegerType || node.Type() == ast.FloatType || node.Type() == ast.BoolType
}

// kindNames names the kinds of values in messages.
var kindNames = map[reflect.Kind]string{reflect.Int: "a whole number", reflect.String: "text"}

// fault reports the node's value once; checks of its range are left out.
func (l *loader) fault(o origin, key string, node ast.Node, problem, remedy string) {
	l.add(o, key, node.GetToken().Value, problem, remedy)
	o.faulty = true
	l.origins[key] = o
}

func (l *loader) walkEntry(entry *ast.MappingValueNode, into reflect.Value, parent string, o origin, seen map[string]bool) {
	name := entry.Key.GetToken().Value
	if o.source == l.file {
		o.line = entry.Key.GetToken().Position.Line
	}
	field, ok := fieldOf(into, name)
	if !ok {
		l.add(o, join(parent, name), "", "unknown key", suggest(parent, name))
		return
	}
	if seen[name] {
		l.add(o, join(parent, name), "", "duplicate key", "keep one of them")
		return
	}
	seen[name] = true
	l.walk(entry.Value, field, join(parent, name), o)
}

// fieldOf returns the field of the struct with the YAML name.
func fieldOf(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("yaml") == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func join(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

// loadEnv applies the variables that start with envPrefix, in the order of their names.
func (l *loader) loadEnv(s *Settings, env []string) {
	env = slices.Sorted(slices.Values(env))
	names := map[string]string{}
	for _, key := range knownKeys() {
		names[envName(key)] = key
	}
	for _, variable := range env {
		name, value, _ := strings.Cut(variable, "=")
		if !strings.HasPrefix(name, envPrefix) || name == EnvFile {
			continue
		}
		key, ok := names[name]
		if !ok {
			nearest := nearest(name, slices.Sorted(mapKeys(names)))
			l.add(origin{source: "environment"}, name, "", "unknown variable", "remove it, or use "+nearest)
			continue
		}
		l.override(s, key, value, origin{source: "environment variable " + name})
	}
}

// envName returns the variable that overrides the key.
func envName(key string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(key, ".", "_"))
}

func (l *loader) loadOverrides(s *Settings, overrides []string) {
	for _, text := range overrides {
		key, value, ok := strings.Cut(text, "=")
		switch {
		case !ok:
			l.add(origin{source: "--set"}, "", text, "no value", "use --set KEY=VALUE")
		case !slices.Contains(knownKeys(), key):
			l.add(origin{source: "--set"}, key, "", "unknown key", suggest("", key))
		default:
			l.override(s, key, value, origin{source: "--set"})
		}
	}
}

// override sets one key. Text is taken as it is; lists of texts are separated by commas;
// anything else is read as YAML.
func (l *loader) override(s *Settings, key, value string, o origin) {
	field := reflect.ValueOf(s).Elem()
	for name := range strings.SplitSeq(key, ".") {
		field, _ = fieldOf(field, name)
	}
	l.origins[key] = o
	switch {
	case field.Kind() == reflect.String:
		field.SetString(value)
	case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.String:
		field.SetZero()
		for part := range strings.SplitSeq(value, ",") {
			if part = strings.TrimSpace(part); part != "" {
				field.Set(reflect.Append(field, reflect.ValueOf(part)))
			}
		}
	default:
		l.decode([]byte(value), field, key, o)
	}
}
