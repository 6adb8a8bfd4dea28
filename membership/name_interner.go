package membership

// maxInternedNames bounds the table, which is cleared when it is full.
const maxInternedNames = 4096

// nameInterner makes equal names share memory, because the members of a cluster
// use few distinct names.
type nameInterner map[string]string

func (t *nameInterner) intern(s string) string {
	if v, ok := (*t)[s]; ok {
		return v
	}
	if *t == nil || len(*t) >= maxInternedNames {
		*t = make(nameInterner)
	}
	(*t)[s] = s
	return s
}
