package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Index is a validated document with lookup tables. It is immutable.
type Index struct {
	doc        *Document
	digest     string
	keys       map[string]*Workspace
	workspaces map[string]*Workspace
	models     map[string]*Model
	routes     map[string]*Route
}

// Digest returns the SHA-256 of a source in lower-case hex.
func Digest(source []byte) string {
	sum := sha256.Sum256(source)
	return hex.EncodeToString(sum[:])
}

// Load parses and compiles a source. It fails with BundleInvalid, listing all
// faults.
func Load(source []byte) (*Index, error) {
	doc, faults := Parse(source)
	if len(faults) > 0 {
		return nil, FaultsError(faults)
	}
	index := Compile(doc)
	index.digest = Digest(source)
	return index, nil
}

// Compile builds the index of a document that Parse has accepted. The document must
// not be changed afterwards.
func Compile(doc *Document) *Index {
	x := &Index{
		doc:        doc,
		keys:       make(map[string]*Workspace),
		workspaces: make(map[string]*Workspace, len(doc.Workspaces)),
		models:     make(map[string]*Model, len(doc.Models)),
		routes:     make(map[string]*Route, len(doc.Routes)),
	}
	for i := range doc.Workspaces {
		w := &doc.Workspaces[i]
		x.workspaces[w.Name] = w
		for _, key := range w.Keys {
			x.keys[key.Digest] = w
		}
	}
	for i := range doc.Models {
		x.models[doc.Models[i].Name] = &doc.Models[i]
	}
	for i := range doc.Routes {
		x.routes[doc.Routes[i].Path] = &doc.Routes[i]
	}
	return x
}

// Version returns the version of the document; 0 before the first bundle.
func (x *Index) Version() uint64 { return x.doc.Version }

// Digest returns the digest of the source; it is empty if the index was built by
// Compile alone.
func (x *Index) Digest() string { return x.digest }

// Document returns the document. It must not be changed.
func (x *Index) Document() *Document { return x.doc }

// KeyWorkspace finds the workspace of a key by the key's SHA-256 digest in
// lower-case hex.
func (x *Index) KeyWorkspace(digest string) (*Workspace, bool) {
	w, found := x.keys[digest]
	return w, found
}

// Workspace finds a workspace by name.
func (x *Index) Workspace(name string) (*Workspace, bool) {
	w, found := x.workspaces[name]
	return w, found
}

// Model finds a model or plain service by name.
func (x *Index) Model(name string) (*Model, bool) {
	m, found := x.models[name]
	return m, found
}

// Route finds the route whose path is the longest prefix of path, matching whole
// segments.
func (x *Index) Route(path string) (*Route, bool) {
	for path != "" {
		if r, found := x.routes[path]; found {
			return r, true
		}
		path = path[:strings.LastIndexByte(path, '/')+1]
		path = strings.TrimSuffix(path, "/")
	}
	return nil, false
}

// DataCentre finds a data centre by name.
func (x *Index) DataCentre(name string) (DataCentre, bool) {
	i := slices.IndexFunc(x.doc.DataCentres, func(dc DataCentre) bool { return dc.Name == name })
	if i < 0 {
		return DataCentre{}, false
	}
	return x.doc.DataCentres[i], true
}

// Allows reports whether the workspace may use a model.
func (w *Workspace) Allows(model string) bool {
	return len(w.Models) == 0 || slices.Contains(w.Models, model)
}
