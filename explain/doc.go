// Package explain finds the life of one request in the logs of several nodes.
package explain
