package configlog

// Outcome says what folding one log record did.
type Outcome string

// The outcomes of Fold.
const (
	// Accepted means that the change is in force from this offset on.
	Accepted Outcome = "accepted"
	// Rejected means that the record changed nothing; Result.Reason says why.
	Rejected Outcome = "rejected"
	// Duplicate means that an earlier record has the same change ID. Only that
	// record takes effect.
	Duplicate Outcome = "duplicate"
	// SnapshotIgnored means that the state already covers the snapshot. Only the
	// snapshot's offset and time are recorded.
	SnapshotIgnored Outcome = "snapshot-ignored"
	// SnapshotApplied means that the snapshot replaced the state.
	// Folding continues at State.Offset, which may be lower than the offset of
	// the record that carries the snapshot.
	SnapshotApplied Outcome = "snapshot-applied"
	// AlreadyFolded means that the record's offset is below State.Offset.
	AlreadyFolded Outcome = "already-folded"
	// Gap means that records between State.Offset and this one are missing, so
	// this one cannot be evaluated. A later snapshot closes the gap.
	Gap Outcome = "gap"
)
