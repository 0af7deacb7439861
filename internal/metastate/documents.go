package metastate

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"regexp"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Kinds of configuration documents.
const (
	// KindTemplate is a template: it declares the parameters of the tenants that name it.
	KindTemplate = "template"
	// KindTenant is a tenant with its parameter values and the keys of its callers.
	KindTenant = "tenant"
	// KindOperator is an operator with its keys.
	KindOperator = "operator"
	// KindDrain marks a daemon or worker that gets no new work.
	KindDrain = "drain"
)

// Key is the stored form of a caller's or operator's key. The key itself is not stored.
type Key struct {
	ID string `json:"id"`
	// SHA256 is the digest of the key in hexadecimal.
	SHA256 string `json:"sha256"`
}

// Template declares parameters by name. The names and types are those of TenantSpec. A parameter that
// the template doesn't declare has the value of DefaultTenantSpec and can't be set by a tenant.
type Template struct {
	Description string               `json:"description,omitempty"`
	Parameters  map[string]Parameter `json:"parameters"`
}

// Parameter declares the default of a parameter and the values that a tenant may set.
type Parameter struct {
	Default json.RawMessage `json:"default,omitempty"`
	// Required means that every tenant must set a value.
	Required bool `json:"required,omitempty"`
	// Fixed means that no tenant may set a value.
	Fixed bool `json:"fixed,omitempty"`
	// Minimum and Maximum bound integers and durations; for a duration they are durations too.
	Minimum json.RawMessage `json:"minimum,omitempty"`
	Maximum json.RawMessage `json:"maximum,omitempty"`
	// Allowed lists the strings that a string list may contain; empty allows all.
	Allowed []string `json:"allowed,omitempty"`
}

// Tenant holds a tenant's template, parameter values and keys.
type Tenant struct {
	Template string                     `json:"template"`
	Values   map[string]json.RawMessage `json:"values,omitempty"`
	Keys     []Key                      `json:"keys"`
	// Disabled means that all requests and jobs of the tenant are rejected.
	Disabled bool `json:"disabled,omitempty"`
}

// Operator is a person or automation that may change the configuration.
type Operator struct {
	Keys []Key `json:"keys"`
}

// Drain marks the daemon or worker with the document's name as draining.
type Drain struct {
	Reason string `json:"reason,omitempty"`
}

const digestBytes = 32

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// CheckDocument validates a document without regard to other documents and returns its canonical
// body, which is nil for a deleted document.
func CheckDocument(document wire.Document) ([]byte, error) {
	path := document.Kind + "/" + document.Name
	if !namePattern.MatchString(document.Name) {
		return nil, invalid(path, "use 1 to 63 lower-case letters, digits, dots and hyphens", "%q is not a valid name", document.Name)
	}
	target, err := newBody(document.Kind, path)
	if err != nil || document.Deleted {
		return nil, err
	}
	if err := decodeStrict(document.Body, target); err != nil {
		return nil, invalid(path, "compare the document with docs/OPERATIONS.md", "the document does not parse: %v", err)
	}
	if err := target.check(path); err != nil {
		return nil, err
	}
	return json.Marshal(target)
}

// documentBody is the decoded body of a document.
type documentBody interface{ check(path string) error }

func newBody(kind, path string) (documentBody, error) {
	switch kind {
	case KindTemplate:
		return &Template{}, nil
	case KindTenant:
		return &Tenant{}, nil
	case KindOperator:
		return &Operator{}, nil
	case KindDrain:
		return &Drain{}, nil
	}
	return nil, invalid(path, "use template, tenant, operator or drain", "%q is not a kind of document", kind)
}

func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

func invalid(path, remedy, format string, arguments ...any) error {
	return failure.New(failure.BadRequest, remedy, format, arguments...).WithField(path)
}

func (t *Template) check(path string) error {
	for _, name := range sortedNames(t.Parameters) {
		if err := t.Parameters[name].check(path+".parameters."+name, name); err != nil {
			return err
		}
	}
	// A template whose defaults aren't valid can't be resolved for any tenant.
	_, err := resolve(path, t, nil, true)
	return err
}

func (p Parameter) check(path, name string) error {
	parameterType, known := parameterTypes[name]
	if !known {
		return invalid(path, "use one of: "+parameterNames(), "%q is not a parameter", name)
	}
	if p.Fixed && (p.Required || p.Default == nil) {
		return invalid(path, "give it a default and leave required out", "a fixed parameter has no value")
	}
	bounded := p.Minimum != nil || p.Maximum != nil
	if bounded && parameterType == typeStringList {
		return invalid(path, "use allowed for lists", "a list has no minimum or maximum")
	}
	if len(p.Allowed) > 0 && parameterType != typeStringList {
		return invalid(path, "use minimum and maximum for numbers and durations", "allowed is for lists only")
	}
	if p.Default == nil {
		return nil
	}
	return p.checkValue(path+".default", name, p.Default)
}

func (t *Tenant) check(path string) error {
	if t.Template == "" {
		return invalid(path+".template", "name a template", "the tenant has no template")
	}
	return checkKeys(path, t.Keys)
}

func (o *Operator) check(path string) error { return checkKeys(path, o.Keys) }

func (d *Drain) check(string) error { return nil }

func checkKeys(path string, keys []Key) error {
	seen := map[string]bool{}
	for _, key := range keys {
		if key.ID == "" || seen[key.ID] {
			return invalid(path+".keys", "give each key an id of its own", "the key id %q is empty or used twice", key.ID)
		}
		seen[key.ID] = true
		digest, err := hex.DecodeString(key.SHA256)
		if err != nil || len(digest) != digestBytes {
			return invalid(path+".keys."+key.ID+".sha256", "use the digest that `sedgemastctl new-key` prints", "the digest is not %d bytes in hexadecimal", digestBytes)
		}
	}
	return nil
}

// ParseDuration parses the JSON form of a duration in a document or settings file, such as "250ms".
func ParseDuration(raw json.RawMessage) (settings.Duration, error) {
	var duration settings.Duration
	err := json.Unmarshal(raw, &duration)
	return duration, err
}
