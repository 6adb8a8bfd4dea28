package configcmd

import (
	"crypto/sha256"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/internal/strictjson"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/google/uuid"
)

// maxFileBytes bounds a file with its comments.
const maxFileBytes = 256 << 10

// idNamespace is the namespace of change IDs that are derived from files.
var idNamespace = uuid.NewSHA1(uuid.NameSpaceURL, []byte("https://github.com/goldcrestsail/goldcrestsail/config"))

// changeFile is a file with one change record.
type changeFile struct {
	path   string
	record *configlog.Record
	// faults lists everything wrong, each with its line.
	faults []string
}

// readChangeFile reads and checks a file. A record without a change ID gets
// one that is derived from the whole record, so that publishing the same file
// again counts once.
func readChangeFile(path string) *changeFile {
	f := &changeFile{path: path}
	data, err := readBounded(path)
	if err != nil {
		f.faults = append(f.faults, fmt.Sprintf("%s: %v", path, err))
		return f
	}
	doc, err := strictjson.Parse(data)
	if err != nil {
		f.faults = append(f.faults, fmt.Sprintf("%s: %v", path, err))
		return f
	}
	record, faults := configlog.CheckDocument(doc)
	if record != nil {
		if record.ID == "" {
			record.ID = uuid.NewHash(sha256.New(), idNamespace, record.Encode(), 8).String()
		}
		if n := len(record.Encode()); n > configlog.MaxChangeBytes {
			faults = append(faults, kind.FieldError{Field: "policy", Value: strconv.Itoa(n) + " bytes", Allowed: fmt.Sprintf("a record of at most %d bytes", configlog.MaxChangeBytes)})
		}
	}
	slices.SortStableFunc(faults, func(a, b kind.FieldError) int { return doc.Line(a.Field) - doc.Line(b.Field) })
	for _, fault := range faults {
		f.faults = append(f.faults, fmt.Sprintf("%s:%d: %v", path, doc.Line(fault.Field), fault))
	}
	f.record = record
	return f
}

func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = fmt.Errorf("larger than %d bytes", maxFileBytes)
	}
	return data, err
}

// readChangeFiles reads all files, reports every fault of all of them and
// returns whether there was none.
func readChangeFiles(env *Env, paths []string) ([]*changeFile, bool) {
	type origin struct {
		service string
		base    uint64
	}
	var files []*changeFile
	first, ok := map[origin]string{}, true
	for _, path := range paths {
		f := readChangeFile(path)
		files = append(files, f)
		if f.record != nil {
			at := origin{f.record.Name.String(), f.record.Base}
			if other, taken := first[at]; taken {
				f.faults = append(f.faults, fmt.Sprintf("%s: changes revision %d of %s, as does %s; one of them would be rejected", path, at.base, at.service, other))
			} else {
				first[at] = path
			}
		}
		for _, fault := range f.faults {
			env.errorf("%s", fault)
		}
		ok = ok && len(f.faults) == 0
	}
	return files, ok
}
