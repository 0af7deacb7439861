package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"gopkg.in/yaml.v3"

	"github.com/sedgemast/sedgemast/internal/failure"
)

// yamlDocument is a document in the form of a YAML file.
type yamlDocument struct {
	Kind   string         `yaml:"kind"`
	Name   string         `yaml:"name"`
	Delete bool           `yaml:"delete"`
	Spec   map[string]any `yaml:"spec"`
}

// ParseDocuments parses the documents of a YAML file, which are separated by lines of three hyphens.
func ParseDocuments(data []byte) ([]Document, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	var documents []Document
	for number := 1; ; number++ {
		var parsed yamlDocument
		err := decoder.Decode(&parsed)
		if errors.Is(err, io.EOF) {
			break
		}
		path := fmt.Sprintf("document %d", number)
		if err != nil {
			return nil, failure.Wrap(err, failure.BadRequest, "give each document kind, name and spec, or delete", "the file does not parse").WithField(path)
		}
		spec, err := json.Marshal(parsed.Spec)
		if err != nil {
			return nil, failure.Wrap(err, failure.BadRequest, "use text as keys", "the spec does not encode").WithField(path)
		}
		document := Document{Kind: parsed.Kind, Name: parsed.Name, Delete: parsed.Delete}
		if !parsed.Delete {
			document.Spec = spec
		}
		documents = append(documents, document)
	}
	if len(documents) == 0 {
		return nil, failure.New(failure.BadRequest, "write at least one document", "the file has no documents")
	}
	return documents, nil
}
