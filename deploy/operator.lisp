;; The operators' own settings of valegap. Every line is optional; the values
;; here are the defaults, and a test keeps it so. Ranges stand in brackets.
(
 ;; Time to live of a controller's lease in the state service [1 to 60]. Longer
 ;; rides out slower state services; shorter takes over sooner after a crash.
 (lease-s . 3.0)
 ;; How often the lease is renewed [0.1 to a third of lease-s].
 (renew-s . 0.5)
 ;; How long before the lease's earliest end its owner stops acting, to cover
 ;; clock drift and a busy processor [0.05 to a third of lease-s].
 (lease-margin-s . 0.3)
 ;; How often a changed shard is snapshotted [0.2 to 60].
 (snapshot-s . 3.0)
 ;; Age of unsnapshotted changes past which nothing is started [snapshot-s to 600].
 (staleness-s . 15.0)
 ;; Share of the state service's writes that snapshots may use [0.05 to 0.9].
 (snapshot-write-share . 0.5)
 ;; Silence after which a machine gets no new tasks, counted from when its next
 ;; report was due at the latest, a quarter past the usual time [0.5 to 600].
 (suspect-late-s . 2.25)
 ;; The same after which a machine that answers no probe is given back to the
 ;; cloud, so that its tasks can move at once [suspect-late-s to 3600].
 (abandon-late-s . 3.25)
 ;; Capacity held ready beyond what runs and waits, as a share of it [0 to 10].
 (headroom . 0.1)
 ;; How long a machine may stay idle before it is given back [0 to 86400].
 (idle-s . 10.0)
 ;; How long room for a team's guarantee is held, as far as it isn't used, after the
 ;; team's last job has ended [0 to 86400]. Then the machines are given back, and work
 ;; that comes later waits until others are up.
 (guarantee-hold-s . 30.0)
 ;; How long a refused kind of machine is not asked for again [1 to 3600].
 (refused-s . 15.0)
 ;; How long a controller that a cut takes from the state service and the owner
 ;; goes on answering workers, so that their tasks live on, at the most [0 to
 ;; 600]. It is never longer than cancel_s less the workers' lease: a job may be
 ;; cancelled meanwhile. Longer rides out longer cuts; but what a cut hides, and
 ;; the cloud doesn't delete, can't start elsewhere before this time has passed.
 (keep-alone-s . 45.0)
)
