;; The operators' own settings of valegap. Every key is optional; the values here are the
;; defaults, and a test keeps it so. Ranges are in brackets, times in seconds. Where a second
;; name is given, either may be used, but not both; messages and --check print the first.
(
 ;; Time to live of a shard leader's lease in the key-value store [1 to 60]. Longer rides out
 ;; slower answers of the store; shorter fails over sooner after a crash.
 (lease-s . 3.0)
 ;; Time between two renewals of the lease [0.1 to a third of lease-s].
 (renew-s . 0.5)
 ;; How long before its lease may expire a leader stops acting, to cover clock drift and a busy
 ;; processor [0.05 to a third of lease-s].
 (lease-margin-s . 0.3)
 ;; Time between two snapshots of a changed shard [0.2 to 60]. Longer writes less; shorter
 ;; repeats fewer tasks after a failover.
 (snapshot-s . 3.0)
 ;; Age of changes not yet in a snapshot from which on no task is started, so that a failover
 ;; never repeats more than that [snapshot-s to 600].
 (staleness-s . 15.0)
 ;; Share of the key-value store's write rate that snapshots may use [0.05 to 0.9]. The rest is
 ;; for submissions, cancellations and completions.
 (snapshot-write-share . 0.5)
 ;; How late a heartbeat has to be for its machine to get no new tasks [0.5 to 600]. A heartbeat
 ;; is due after the usual interval and a quarter, by which intervals vary.
 (suspect-late-s . 2.25)
 ;; How late a heartbeat has to be for a machine that answers no probe to be declared dead and
 ;; deleted, so that its tasks can start elsewhere at once [suspect-late-s to 3600].
 ;; Second name: declare-dead-late-s.
 (abandon-late-s . 3.25)
 ;; Capacity kept free, as a multiple of what running and waiting tasks need [0 to 10]. More
 ;; starts new jobs sooner and costs more.
 (headroom . 0.1)
 ;; How long a machine may be idle before it is scaled in [0 to 86400].
 (idle-s . 10.0)
 ;; How long capacity for a team's unused quota is kept after the team's last job has ended
 ;; [0 to 86400]. Then the machines are scaled in, and work that comes later waits until others
 ;; are up. Second name: quota-hold-s.
 (guarantee-hold-s . 30.0)
 ;; How long no machine is requested of a type and zone of which the cloud had none
 ;; [1 to 3600]. Second name: scale-out-retry-s.
 (refused-s . 15.0)
 ;; How long at the most a controller that can reach neither the key-value store nor the leader
 ;; renews its workers' leases, so that their tasks live on [0 to 600]. It is never longer than
 ;; cancel_s less the workers' lease, as a job may be cancelled meanwhile. Longer rides out
 ;; longer partitions; but tasks behind a partition, on machines that the cloud doesn't delete,
 ;; can't start elsewhere before this time has passed. Second name: advance-delegation-s.
 (keep-alone-s . 45.0)
)
