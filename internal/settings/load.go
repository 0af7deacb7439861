package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-kratos/kratos/v2/config"
	"github.com/go-kratos/kratos/v2/config/file"
	_ "github.com/go-kratos/kratos/v2/encoding/yaml" // lets kratos' config read YAML

	"github.com/sedgemast/sedgemast/internal/failure"
)

// Checked is a settings structure that can check itself.
type Checked interface {
	Check(checker *Checker)
}

// Load reads the YAML file at path into target, which holds the defaults, calls override to apply
// the flags of the command line, and checks the result. An empty path means that there is no file;
// override may be nil. The error lists all invalid fields.
func Load(path string, target Checked, override func()) error {
	if path != "" {
		if err := readFile(path, target); err != nil {
			return err
		}
	}
	if override != nil {
		override()
	}
	checker := &Checker{}
	target.Check(checker)
	return checker.Err()
}

func readFile(path string, target any) error {
	source := config.New(
		config.WithSource(file.NewSource(path)),
		// The default resolver would expand placeholders such as ${NAME}; the file is used as
		// written.
		config.WithResolver(func(map[string]any) error { return nil }),
	)
	defer source.Close()
	if err := source.Load(); err != nil {
		return failure.Wrap(err, failure.BadRequest, "check that the file exists and is YAML", "settings file %q can't be read", path)
	}
	values := map[string]any{}
	if err := source.Scan(&values); err != nil {
		return failure.Wrap(err, failure.BadRequest, "write the file as a YAML mapping", "settings file %q can't be read", path)
	}
	if unknown := unknownFields(values, reflect.TypeOf(target), ""); len(unknown) > 0 {
		return failure.New(failure.BadRequest, "remove it or correct its name", "there is no such setting: %s", strings.Join(unknown, ", ")).WithField(unknown[0])
	}
	encoded, err := json.Marshal(values)
	if err != nil {
		return errors.Wrap(err, "settings do not encode")
	}
	if err := json.Unmarshal(encoded, target); err != nil {
		return typeFailure(err)
	}
	return nil
}

func typeFailure(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return failure.New(failure.BadRequest, "write it as a "+describeType(mismatch.Type), "a %s does not fit here", mismatch.Value).WithField(mismatch.Field)
	}
	return failure.Wrap(err, failure.BadRequest, "write durations like 250ms or 5s", "a setting does not parse")
}

func describeType(wanted reflect.Type) string {
	switch wanted.Kind() {
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "whole number"
	case reflect.Slice:
		return "list"
	case reflect.Struct, reflect.Map:
		return "mapping"
	}
	return wanted.Kind().String()
}

// unknownFields returns the paths of the fields in values that the target type does not have.
func unknownFields(values map[string]any, target reflect.Type, prefix string) []string {
	for target.Kind() == reflect.Pointer {
		target = target.Elem()
	}
	known := fieldTypes(target)
	var unknown []string
	for name, value := range values {
		path := prefix + name
		fieldType, found := known[name]
		if !found {
			unknown = append(unknown, path)
			continue
		}
		unknown = append(unknown, unknownNestedFields(value, fieldType, path)...)
	}
	sort.Strings(unknown)
	return unknown
}

func unknownNestedFields(value any, fieldType reflect.Type, path string) []string {
	if nested, isMapping := value.(map[string]any); isMapping && fieldType.Kind() == reflect.Struct {
		return unknownFields(nested, fieldType, path+".")
	}
	list, isList := value.([]any)
	if !isList || fieldType.Kind() != reflect.Slice || fieldType.Elem().Kind() != reflect.Struct {
		return nil
	}
	var unknown []string
	for index, entry := range list {
		if nested, isMapping := entry.(map[string]any); isMapping {
			unknown = append(unknown, unknownFields(nested, fieldType.Elem(), fmt.Sprintf("%s.%d.", path, index))...)
		}
	}
	return unknown
}

func fieldTypes(target reflect.Type) map[string]reflect.Type {
	known := map[string]reflect.Type{}
	for i := 0; i < target.NumField(); i++ {
		field := target.Field(i)
		if field.Anonymous {
			for name, fieldType := range fieldTypes(field.Type) {
				known[name] = fieldType
			}
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		known[name] = field.Type
	}
	return known
}
