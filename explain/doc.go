// Package explain collects the log lines of one request from the logs of several
// nodes.
package explain
