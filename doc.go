// Package goldcrestsail is an overload control layer for service call graphs.
// See docs/design.md for the packages and their jobs.
package goldcrestsail
