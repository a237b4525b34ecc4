package wire

// MethodRenewQuota accepts a quota.Renewal from an entry and returns a
// quota.Reply. Only the control instance that owns the quotas accepts renewals.
const MethodRenewQuota = "quota.renew"
