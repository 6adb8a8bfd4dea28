package configcmd

// Check reports all faults of the change files, each with its file, line and
// field. It does not use the log, so it cannot tell whether the base of a
// change is current.
func Check(env Env, paths []string) int {
	if len(paths) == 0 {
		return env.usage("config check: name at least one file")
	}
	files, ok := readChangeFiles(&env, paths)
	for _, f := range files {
		if len(f.faults) == 0 {
			r := f.record
			env.printf("%s: ok: schema %d, %s of %s from revision %d", f.path, r.Schema, r.Op, r.Name, r.Base)
		}
	}
	if !ok {
		return ExitFailure
	}
	return ExitOK
}
