// Package auditor compares the outcomes that callers recorded with the runs that
// the targets recorded, and reports each contradiction.
//
// A run is one execution of a request by a target. A request of an
// at-most-once kind must run at most once, over all its attempts. The audit reports
// as violations:
//
//   - a response to a request that no target ran;
//   - a request of an at-most-once kind that ran more than once;
//   - a response that belongs to another request, or that seemed complete but was
//     truncated;
//   - an attempt that ended as not executed or unsent, although the request ran;
//   - a run of a request that no caller sent.
package auditor
