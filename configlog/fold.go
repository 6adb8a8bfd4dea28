package configlog

import "github.com/goldcrestsail/goldcrestsail/logservice"

// Fold applies one record of the config stream to s and reports what it did.
// Records must be passed in ascending order of offset. Invalid records never
// stop the fold: they are rejected and the offset moves past them. After a
// SnapshotApplied result, continue with the record at s.Offset().
func Fold(s *State, r logservice.Record) Result { panic("not implemented") }
