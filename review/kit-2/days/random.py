# Writes one day of random disruptions, as this review played them: random.py SEED SITE. Its denser form had 22 to 36 entries and lasted 60, 75 or 92 s.
import random,sys
seed=int(sys.argv[1]); site=sys.argv[2]; r=random.Random(seed)
L=r.choice([40,50,60,70])
S={'nsl-dakar':('bell-lm','dispatch','round-plan','wiring-ask'),'urbpadoms':('advisor-llm','card-app','survey-lot','quote-ask')}[site]
svc=lambda: r.choice(S[:2])
out=[]
def e(sec,**k): out.append((sec,k))
def machines():
    on=r.choice(['core','store','front','core','store'])
    return on
T=[
 lambda t: ('faults',dict(kind='srv_crash',service=svc(),share=r.choice([.15,.3]),for_s=4.5,how=r.choice(['','dark','gone']))),
 lambda t: ('plan',dict(kind='release',share=.45,x=2.0,gap_s=1.0)),
 lambda t: ('plan',dict(kind='scale_out',share=.25,gap_s=2.0)),
 lambda t: ('plan',dict(kind='scale_in',share=.13)),
 lambda t: ('faults',dict(kind='scale_in',share=.13,how='spot')),
 lambda t: ('faults',dict(kind='answer_lost',share=.5,x=.03,for_s=5.5,how=r.choice(['','reset']))),
 lambda t: ('faults',dict(kind='garble',share=.5,x=.02,for_s=5.5,how=r.choice(['','extra','unframed','early','extra late']))),
 lambda t: ('faults',dict(kind='node_kill',on=machines(),count=1,for_s=3.0,how=r.choice(['','power','leader','leader race','meet','leader meet hard','follower wipe','seed','turn']))),
 lambda t: ('faults',dict(kind='node_freeze',on=machines(),count=1,for_s=r.choice([2.0,3.2,5.0]),how=r.choice(['','leader','renewed','leader race','follower']))),
 lambda t: ('plan',dict(kind='roll_term',share=r.choice([.45,1.0]),x=1.0,gap_s=r.choice([1.0,1.3]),how=r.choice(['','leader','busy','starter']))),
 lambda t: ('plan',dict(kind='add_nodes',on=r.choice(['front','store']),count=1)),
 lambda t: ('faults',dict(kind='replace_core',on=r.choice(['core','store']),x=2.0,how=r.choice(['','planned','oldest']))),
 lambda t: ('faults',dict(kind='after_ack_kill',on=r.choice(['core','store']),for_s=3.0,how=r.choice(['','kill','timed','taken']))),
 lambda t: ('faults',dict(kind='after_ack_wipe',on=r.choice(['core','store']),for_s=3.0,how=r.choice(['','oldest']))),
 lambda t: ('faults',dict(kind='core_cut',on=r.choice(['core','store']),count=1,for_s=r.choice([4.0,5.5]),how=r.choice(['','leader','leader one_way','split','all','near','oldest','one_way','both','seeds','lure','relieve','leader race','behind','leader meet','reset leader','refuse leader']))),
 lambda t: ('plan',dict(kind='config_change',how=r.choice(['route','weights','timeout','tenant','quota','quota down','topup','idle']))),
 lambda t: ('plan',dict(kind='config_storm',for_s=4.0,gap_s=.33)),
 lambda t: ('plan',dict(kind='config_race',count=3,gap_s=1.2)),
 lambda t: ('plan',dict(kind='bad_config',count=3,gap_s=1.0,how=r.choice(['cut_short','unknown_service','same_place','no_weight','no_timeout','old_version','same_version','shared_key']))),
 lambda t: ('faults',dict(kind='ack_lost',x=.7,for_s=8.0)),
 lambda t: ('plan',dict(kind='revoke',count=2,gap_s=1.5,how=r.choice(['','last']))),
 lambda t: ('plan',dict(kind='retire',for_s=9.2,how=r.choice(['','wipe']))),
 lambda t: ('faults',dict(kind='burst',**{'class':S[2]},x=6.0,for_s=3.0)),
 lambda t: ('faults',dict(kind='burst',**{'class':S[3]},x=1.5,for_s=4.0)),
 lambda t: ('faults',dict(kind='give_up',share=.15,x=150,for_s=5,how=r.choice(['','prompt','once']))),
 lambda t: ('faults',dict(kind='srv_slow',service=svc(),share=.15,x=4,for_s=5)),
 lambda t: ('faults',dict(kind='srv_grey',service=svc(),share=.15,x=.4,for_s=5,how=r.choice(['','errors','shed','busy','hang','reset','mute','slow']))),
 lambda t: ('faults',dict(kind='srv_cut',service=svc(),share=.2,for_s=5,how=r.choice(['','fronts','some','one_way','reset','reborn']))),
 lambda t: ('faults',dict(kind='replace_with_reuse',service=svc(),share=.15,how=r.choice(['','drain','dark']))),
 lambda t: ('faults',dict(kind='cold_return',for_s=4,service=S[0],how=r.choice(['','dark']))),
 lambda t: ('faults',dict(kind='node_slow',on=machines(),share=.1,x=5,for_s=5)),
 lambda t: ('faults',dict(kind='herd_kill',share=.6,for_s=2,how=r.choice(['','power']))),
 lambda t: ('faults',dict(kind='herd_kill',on='core',for_s=2,how=r.choice(['','off','taken','taken all']))),
 lambda t: ('plan',dict(kind='seed_turnover')),
 lambda t: ('faults',dict(kind='disk_slow',on=r.choice(['core','store']),count=1,x=30,for_s=5)),
 lambda t: ('faults',dict(kind='disk_full',on=r.choice(['core','store']),count=1,for_s=5)),
 lambda t: ('faults',dict(kind='disk_stall',on=r.choice(['core','store']),count=1,for_s=5)),
 lambda t: ('faults',dict(kind='clock_step',x=2000,share=.3,for_s=5,how=r.choice(['back','ahead']))),
 lambda t: ('plan',dict(kind='hup',share=.3,gap_s=1)),
 lambda t: ('faults',dict(kind='reset_conns',share=.1,x=.5)),
 lambda t: ('faults',dict(kind='zone_loss',for_s=4)),
 lambda t: ('faults',dict(kind='zone_cut',for_s=4)),
 lambda t: ('faults',dict(kind='node_cut',share=.1,for_s=4,how=r.choice(['','all','servers']))),
 lambda t: ('plan',dict(kind='evacuate',for_s=6,how=r.choice(['','warm']))),
]
n=r.randint(8,16)
for _ in range(n):
    t=round(r.uniform(3,L-6),1)
    sec,k=r.choice(T)(t)
    if k.get('how')=='' : k.pop('how')
    k['at']=t; out.append((sec,k))
# echo clusters: two at near same time
for _ in range(3):
    sec,k=r.choice(T)(0)
    if k.get('how')=='' : k.pop('how')
    k['at']=round(r.choice(out)[1]['at']+r.uniform(0,1.5),1); out.append((sec,k))
def f(k):
    return '{ '+', '.join('%s = %s'%(a,('"%s"'%b) if isinstance(b,str) else b) for a,b in k.items())+' }'
print('name = "fz-%d"'%seed); print('length_s = %.1f'%L)
for s in ('plan','faults'):
    print(s+' = ['); [print('  '+f(k)+',') for x,k in sorted(out,key=lambda z:z[1]['at']) if x==s]; print(']')
c=r.choice([None,None,dict(kind='power_off_all',down_s=2.0),dict(kind='wipe_after_ack',down_s=2.0),dict(kind='wipe_after_ack',down_s=2.0,how='taken'),dict(kind='wipe_after_ack',down_s=2.0,how='oldest'),dict(kind='kill_all',down_s=2.0),dict(kind='power_off_all',down_s=2.0,how='timed'),dict(kind='power_off_all',down_s=2.0,how='taken')])
if c: print('closing = '+f(c))
