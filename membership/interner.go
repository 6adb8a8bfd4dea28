package membership

// maxInterned bounds the table of names; it is started afresh when it is full.
const maxInterned = 4096

// interner makes equal names share memory: the members of a cluster use few
// different names.
type interner map[string]string

func (t *interner) intern(s string) string {
	if v, ok := (*t)[s]; ok {
		return v
	}
	if *t == nil || len(*t) >= maxInterned {
		*t = make(interner)
	}
	(*t)[s] = s
	return s
}
