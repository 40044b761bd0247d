//! Kinds of rules, leases, disks and the history: what single parts must hold.
