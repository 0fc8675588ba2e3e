// Package registrar tracks which runs of targets may get new requests.
//
// A run is one execution of a target's process, from its start to its end. Runs come from
// the platform's list of targets. What a target or a peer reports of a run corrects
// the list. A run that was reported to be leaving never becomes usable again; when the
// target starts again, that is a new run. A run that a list omits is gone at once,
// unless the list was made right after an outage of the platform. Such a list may lack
// entries of live targets, so the run stays usable for the time within which live targets
// are listed again (Completeness).
//
// A list also names the availability zones that an operator has emptied. Their runs are not
// usable until a later list takes the zone back, and count as cold from then on.
package registrar
