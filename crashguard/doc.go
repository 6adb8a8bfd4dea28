// Package crashguard keeps requests that end their targets from reaching further
// ones. It makes a quarantine.Table safe for concurrent use, lets runs of suspects
// wait for each other, and exchanges the table's entries with other nodes.
package crashguard
