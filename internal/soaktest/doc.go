// Package soaktest runs the decision packages under steady load for an hour of
// virtual time. It contains only tests.
package soaktest
